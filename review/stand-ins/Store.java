import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/** The platform's store: keyed topics of one partition, linearizable, with producers, conditions and long reads. */
final class Store {
    /** Settings of the small deployments. */
    static final int MAX_RECORD_BYTES = 262_144;
    static final int MAX_CALL_BYTES = 2_097_152;
    private static final long APPEND_MS = 4;

    /** Time of an answer to a read of a store that is not slow; it is left out then. */
    private static final long READ_MS = 4;
    private static final long PARTITION_BYTES_PER_MS = 20_000;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Entry(long offset, byte[] content) {}

    private static final class Writer {
        long epoch;
        long sequence;
        final Deque<long[]> recent = new ArrayDeque<>();
    }

    private static final class Topic {
        final ReentrantLock appending = new ReentrantLock(true);
        final List<Entry> entries = new ArrayList<>();
        final TreeMap<String, Entry> newest = new TreeMap<>();
        final Map<String, Writer> writers = new HashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpServer server;
    private final Record record;

    private final AtomicInteger refusals = new AtomicInteger();

    /** Whether every call is answered with 503: the store is down, and nothing is done. */
    volatile boolean busy;

    /** Factor on the time of each answer: the store is slow. */
    volatile double slowness = 1;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a record as the operator or an executor does; a value of null drops the key. */
    synchronized void write(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(1 + name.length + text.length);
        content.put((byte) name.length).put(name).put(text);
        store(topic(topic), content.array());
        notifyAll();
    }

    /** Returns the newest value of a key, or null. */
    synchronized String read(String topic, String key) {
        Entry entry = topic(topic).newest.get(key);
        return entry == null ? null : new String(valueOf(entry), StandardCharsets.UTF_8);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private void store(Topic topic, byte[] content) {
        Entry entry = new Entry(topic.entries.size(), content);
        topic.entries.add(entry);
        int length = content[0] & 0xff;
        String key = new String(content, 1, length, StandardCharsets.UTF_8);
        if (content.length == 1 + length) topic.newest.remove(key);
        else topic.newest.put(key, entry);
    }

    private static byte[] valueOf(Entry entry) {
        return Arrays.copyOfRange(entry.content, 1 + (entry.content[0] & 0xff), entry.content.length);
    }

    private void handle(HttpExchange call) throws IOException {
        byte[] body = call.getRequestBody().readAllBytes();
        Map<String, String> query = queryOf(call);
        try {
            if (busy) {
                Http.answer(call, 503, new byte[0]);
                return;
            }
            switch (call.getRequestURI().getPath()) {
                case "/log-append" -> append(call, query, body);
                case "/log-read" -> logRead(call, query);
                case "/log-newest" -> logNewest(call, query);
                default -> Http.answer(call, 404, new byte[0]);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            call.close();
        }
    }

    private static Map<String, String> queryOf(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        String raw = call.getRequestURI().getRawQuery();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private void append(HttpExchange call, Map<String, String> query, byte[] body)
        throws IOException, InterruptedException {
        String name = query.get("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            Http.answer(call, 403, new byte[0]);
            return;
        }
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.remaining() > 0) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            records.add(content);
            if (content.length > MAX_RECORD_BYTES) {
                int length = content[0] & 0xff;
                refused("a record of " + content.length + " bytes, key "
                    + new String(content, 1, length, StandardCharsets.UTF_8));
                Http.answer(call, 413, new byte[0]);
                return;
            }
        }
        if (body.length > MAX_CALL_BYTES) {
            refused("a call of " + body.length + " bytes");
            Http.answer(call, 413, new byte[0]);
            return;
        }
        Topic topic;
        synchronized (this) {
            topic = topic(name);
        }
        // A partition processes its appends one at a time.
        topic.appending.lock();
        Object[] result;
        try {
            Thread.sleep((long) ((APPEND_MS + body.length / PARTITION_BYTES_PER_MS) * slowness));
            result = appendNow(topic, query, records);
        } finally {
            topic.appending.unlock();
        }
        Http.answer(call, (int) result[0], Json.write(result[1]).getBytes(StandardCharsets.UTF_8));
    }

    /** Notes a refusal: the first ones, and then every hundredth. */
    private void refused(String what) {
        int count = refusals.incrementAndGet();
        if (count <= 10 || count % 100 == 0) record.event("store", "refuses " + what + ", refusal " + count);
    }

    /** Returns the status and the body of the response. */
    private synchronized Object[] appendNow(Topic topic, Map<String, String> query, List<byte[]> records) {
        Writer writer = null;
        if (query.containsKey("producer")) {
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.get("seq"));
            Writer known = topic.writers.get(query.get("producer"));
            if (known != null && epoch < known.epoch) return new Object[] {409, Json.of("reason", "fenced")};
            if (known != null && epoch == known.epoch) {
                for (long[] earlier : known.recent) {
                    if (earlier[0] == sequence) {
                        return new Object[] {200, Json.of("offset", earlier[1], "end-offset", earlier[2])};
                    }
                }
                if (sequence != known.sequence + 1) {
                    return new Object[] {409, Json.of("reason", "seq", "seq", known.sequence + 1)};
                }
                writer = known;
            } else {
                writer = new Writer();
                writer.epoch = epoch;
            }
            if (isElsewhere(topic, query)) return endMoved(topic);
            writer.sequence = sequence;
            topic.writers.put(query.get("producer"), writer);
        } else if (isElsewhere(topic, query)) {
            return endMoved(topic);
        }
        long offset = topic.entries.size();
        for (byte[] content : records) store(topic, content);
        long end = topic.entries.size();
        if (writer != null) {
            writer.recent.addLast(new long[] {writer.sequence, offset, end});
            if (writer.recent.size() > 5) writer.recent.removeFirst();
        }
        notifyAll();
        return new Object[] {200, Json.of("offset", offset, "end-offset", end)};
    }

    private static boolean isElsewhere(Topic topic, Map<String, String> query) {
        return query.containsKey("at") && Long.parseLong(query.get("at")) != topic.entries.size();
    }

    private static Object[] endMoved(Topic topic) {
        return new Object[] {412, Json.of("end-offset", (long) topic.entries.size())};
    }

    private void logRead(HttpExchange call, Map<String, String> query) throws IOException, InterruptedException {
        int from = Integer.parseInt(query.getOrDefault("from", "0"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (topic.entries.size() <= from) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                wait(left);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.entries.size());
            out.writeLong(0);
            for (int i = from; i < topic.entries.size() && bytes.size() < PAGE_BYTES; i++) {
                byte[] content = topic.entries.get(i).content;
                out.writeInt(content.length);
                out.write(content);
            }
        }
        answerSlowly();
        // A store that goes down answers no call that waits.
        if (busy) Http.answer(call, 503, new byte[0]);
        else Http.answer(call, 200, bytes.toByteArray());
    }

    /** Delays the answer of a slow store. */
    private void answerSlowly() throws InterruptedException {
        if (slowness > 1) Thread.sleep((long) (READ_MS * slowness));
    }

    private void logNewest(HttpExchange call, Map<String, String> query) throws IOException, InterruptedException {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long end;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            end = topic.entries.size();
            int bytes = 0;
            for (Map.Entry<String, Entry> entry
                : topic.newest.tailMap(query.getOrDefault("depends-on", ""), false).entrySet()) {
                if (items.size() == PAGE_ITEMS || bytes > PAGE_BYTES) {
                    more = true;
                    break;
                }
                String value = Base64.getEncoder().encodeToString(valueOf(entry.getValue()));
                bytes += value.length();
                items.add(Json.of("key", entry.getKey(), "value", value, "offset", entry.getValue().offset));
            }
        }
        answerSlowly();
        String body = Json.write(Json.of("items", items, "has-more", more, "end-offset", end));
        Http.answer(call, 200, body.getBytes(StandardCharsets.UTF_8));
    }
}
