package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;

/** Servers keep sessions by cookie. One client logs in; others, which send no cookie, ask for what is in a session. */
final class CookieCase {
    private static final int OTHERS = 10;

    private static volatile boolean setsCookies;

    /** Server that answers 401 to a request without a session. */
    private static final class SessionServer extends Server {
        SessionServer(Lab lab, String id, String zone) throws IOException {
            super(lab, id, "booking", zone, 3, 0);
        }

        @Override
        void handle(Http.Head head, InputStream in, Socket socket) throws IOException {
            Http.readBody(in, head);
            String request = head.header(Wire.REQUEST);
            String cookie = head.header("Cookie");
            lab.record("server %s runs %s %s with the cookie '%s'", id, request, head.target(), cookie);
            if (head.target().endsWith("/login")) {
                String session = setsCookies ? "Set-Cookie: session=anna; Path=/\r\n" : "";
                write(socket.getOutputStream(), "200 OK", success(request) + session, "welcome, anna");
            } else if (cookie.contains("session=anna")) {
                write(socket.getOutputStream(), "200 OK", success(request), "bookings of anna");
            } else {
                write(socket.getOutputStream(), "401 Unauthorized", success(request), "log in first");
            }
        }
    }

    public static void main(String[] arguments) {
        Lab.run(arguments, CookieCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        setsCookies = trouble;
        String zones = "{\"z1\":\"north\",\"z2\":\"north\"}";
        Lab.Entry entry = lab.entry("edge-z1-1", "north", "z1", zones, 6);
        for (int i = 0; i < 2; i++) {
            lab.list(new SessionServer(lab, "i-" + i, "z1"));
        }
        lab.store.put("op", "config", Lab.config(
                1, List.of(Lab.route("r", "/book/", "unsafe", "booking", 2, 2)), List.of("booking")));
        lab.startAll();
        Thread.sleep(5_000);

        call(lab, entry, "/book/login", "anna-1");
        int foreign = 0;
        for (int i = 0; i < OTHERS; i++) {
            Client.Answer answer = call(lab, entry, "/book/mine", "other-" + i);
            foreign += answer.text().equals("bookings of anna") ? 1 : 0;
        }
        lab.report("clients without a cookie that got the bookings of another: %d of %d", foreign, OTHERS);
        return foreign == 0;
    }

    private static Client.Answer call(Lab lab, Lab.Entry entry, String path, String request) {
        Client.Answer answer = Client.call(entry.front, "POST", path, request, 3_000);
        lab.record("client gets for %s: %d %s", request, answer.status(), answer.text());
        return answer;
    }
}
