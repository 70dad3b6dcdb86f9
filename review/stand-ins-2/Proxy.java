import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A link between two processes. While it is cut, nothing passes and no connection ends. Connections that were used
 * meanwhile are closed when the link is back, and what was sent on them never arrives.
 */
final class Proxy {
    private final ServerSocket listener;
    private final int target;
    private volatile boolean cut;

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Fleet.thread("proxy", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void cut(boolean cut) {
        this.cut = cut;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Fleet.thread("link", () -> connect(near));
            } catch (IOException failure) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        try {
            if (awaitLink()) throw new IOException("used during the cut");
            Socket far = new Socket("127.0.0.1", target);
            far.setTcpNoDelay(true);
            Fleet.thread("link", () -> copy(near, far));
            copy(far, near);
        } catch (IOException failure) {
            close(near);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (awaitLink()) break;
                out.write(buffer, 0, count);
            }
        } catch (IOException failure) {
            // One of the two ends has closed its connection.
        }
        close(from);
        close(to);
    }

    /** Waits for the end of a cut. Returns whether there was one. */
    private boolean awaitLink() throws IOException {
        boolean waited = cut;
        while (cut) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException failure) {
                throw new IOException(failure);
            }
        }
        return waited;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException failure) {
            // It is closed already.
        }
    }
}
