import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** Responses of the stand-ins' servers. */
final class Http {
    private Http() {}

    static void answer(HttpExchange call, int status, byte[] body) throws IOException {
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) call.getResponseBody().write(body);
    }
}
