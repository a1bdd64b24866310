import java.nio.file.Path;

/** What several cases share. */
final class Cases {
    private Cases() {}

    /** A case; returns 1 if the rule was broken, 0 if it held, and 2 if it couldn't run. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case with a record in the file that the first argument names, and exits with its result. */
    static void run(String[] args, Case some) {
        int result = 2;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            lab.log(Lab.hasTrouble() ? "with the disruption" : "without the disruption");
            result = some.run(lab);
            lab.log("result " + result);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    /** A small configuration with one service, a safe route and an unsafe one, both public. */
    static String configuration(int version, int maxHeaderBytes) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"status\",\"host\":\"shop.example\",\"path_prefix\":\"/status/\",\"kind\":\"safe\",\"timeout_ms\":2000,"
            + "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2,\"public\":true},"
            + "{\"name\":\"deduct\",\"host\":\"shop.example\",\"path_prefix\":\"/deduct/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,"
            + "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96}],"
            + "\"limits\":{\"max_header_bytes\":" + maxHeaderBytes + ",\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** A small configuration with one service and one public route, whose answers are streams that may be resumed. */
    static String streams(int maxConnections) {
        return "{\"version\":3,\"routes\":[{\"name\":\"draft\",\"host\":\"shop.example\",\"path_prefix\":\"/draft/\","
            + "\"kind\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":500,\"service\":\"writer\",\"max_attempts\":2,"
            + "\"public\":true,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":250}],"
            + "\"services\":[{\"name\":\"writer\",\"health_path\":\"/health\",\"max_conns\":" + maxConnections + "}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
    }
}
