import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server on the loopback address; each request has a thread of its own. */
final class Web {
    interface Handler {
        void handle(HttpExchange exchange, byte[] body) throws Exception;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    final int port;

    Web(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
        this.port = server.getAddress().getPort();
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange, exchange.getRequestBody().readAllBytes());
            } catch (IOException | InterruptedException failure) {
                // The caller has closed the connection, or the server ends.
            } catch (Exception failure) {
                failure.printStackTrace();
            } finally {
                exchange.close();
            }
        });
        server.start();
    }

    /** Closes all connections at once, as the end of the process would. */
    void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> parameters = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null) return parameters;
        for (String pair : query.split("&")) {
            int at = pair.indexOf('=');
            if (at > 0) {
                String value = java.net.URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8);
                parameters.put(pair.substring(0, at), value);
            }
        }
        return parameters;
    }

    static void answer(HttpExchange exchange, int status, Object json) throws IOException {
        byte[] bytes = json == null ? new byte[0] : Json.write(json).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        answer(exchange, status, bytes);
    }

    static void answer(HttpExchange exchange, int status, byte[] bytes) throws IOException {
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
    }
}
