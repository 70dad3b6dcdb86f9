import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: keyed topics with one partition, kept for longer than a case lasts. */
final class Store {
    private static final int PAGE_BYTES = 1 << 20;
    private static final int PAGE_ITEMS = 500;
    private static final int REMEMBERED_APPENDS = 5;

    private static final class Producer {
        long epoch = -1;
        long sequence;
        final LinkedHashMap<Long, Map<String, Object>> answers = new LinkedHashMap<>();
    }

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Web web;

    Store() throws IOException {
        web = new Web(0, this::handle);
    }

    int port() {
        return web.port;
    }

    void close() {
        web.close();
    }

    /** Writes a record as the operator or an executor does; {@code null} removes the key. */
    synchronized void put(String topic, String key, String value) {
        add(topic(topic), record(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Returns the newest value of a key, or {@code null}. */
    synchronized String get(String topic, String key) {
        Integer offset = topic(topic).newest.get(key);
        return offset == null ? null : new String(valueOf(topic(topic).records.get(offset)), StandardCharsets.UTF_8);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, ignored -> new Topic());
    }

    private static byte[] record(String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + value.length).put((byte) name.length).put(name).put(value).array();
    }

    private static String keyOf(byte[] record) {
        return new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
    }

    private static byte[] valueOf(byte[] record) {
        return Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
    }

    private void add(Topic topic, byte[] record) {
        topic.records.add(record);
        if (valueOf(record).length == 0) topic.newest.remove(keyOf(record));
        else topic.newest.put(keyOf(record), topic.records.size() - 1);
    }

    private void handle(HttpExchange exchange, byte[] body) throws Exception {
        Map<String, String> query = Web.query(exchange);
        switch (exchange.getRequestURI().getPath()) {
            case "/log-append" -> append(exchange, query, body);
            case "/log-read" -> read(exchange, query);
            case "/log-newest" -> newest(exchange, query);
            default -> Web.answer(exchange, 404, (Object) null);
        }
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            long end = topic.records.size();
            Producer producer = null;
            long epoch = 0;
            long sequence = 0;
            if (query.containsKey("producer")) {
                producer = topic.producers.computeIfAbsent(query.get("producer"), ignored -> new Producer());
                epoch = Long.parseLong(query.get("epoch"));
                sequence = Long.parseLong(query.get("seq"));
            }
            boolean known = producer != null && epoch == producer.epoch;
            if (producer != null && epoch < producer.epoch) {
                status = 409;
                answer = Json.of("reason", "fenced");
            } else if (known && producer.answers.containsKey(sequence)) {
                answer = producer.answers.get(sequence);
            } else if (known && sequence != producer.sequence + 1) {
                status = 409;
                answer = Json.of("reason", "seq", "seq", producer.sequence + 1);
            } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
                status = 412;
                answer = Json.of("end-offset", end);
            } else {
                ByteBuffer records = ByteBuffer.wrap(body);
                while (records.hasRemaining()) {
                    byte[] record = new byte[records.getInt()];
                    records.get(record);
                    add(topic, record);
                }
                answer = Json.of("offset", end, "end-offset", (long) topic.records.size());
                if (producer != null) {
                    if (!known) producer.answers.clear();
                    producer.epoch = epoch;
                    producer.sequence = sequence;
                    producer.answers.put(sequence, answer);
                    if (producer.answers.size() > REMEMBERED_APPENDS) {
                        producer.answers.remove(producer.answers.keySet().iterator().next());
                    }
                }
                notifyAll();
            }
        }
        Web.answer(exchange, status, answer);
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws Exception {
        int from = Integer.parseInt(query.get("from"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
        ByteBuffer page = ByteBuffer.allocate(2 * PAGE_BYTES);
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (topic.records.size() <= from && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            page.putLong(topic.records.size()).putLong(0);
            for (int i = from; i < topic.records.size() && page.position() < PAGE_BYTES; i++) {
                page.putInt(topic.records.get(i).length).put(topic.records.get(i));
            }
        }
        Web.answer(exchange, 200, Arrays.copyOf(page.array(), page.position()));
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long end;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            end = topic.records.size();
            String after = query.getOrDefault("depends-on", "");
            for (Map.Entry<String, Integer> entry : topic.newest.tailMap(after, false).entrySet()) {
                if (items.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                byte[] value = valueOf(topic.records.get(entry.getValue()));
                items.add(Json.of("key", entry.getKey(), "value", Base64.getEncoder().encodeToString(value),
                        "offset", (long) entry.getValue()));
            }
        }
        Web.answer(exchange, 200, Json.of("items", items, "has-more", more, "end-offset", end));
    }
}
