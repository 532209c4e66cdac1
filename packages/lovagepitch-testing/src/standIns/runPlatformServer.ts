/**
 * Runs the platform's stand-in as a process: `node runPlatformServer.js --port 7300`. It prints its base URL as a line
 * of JSON when it listens.
 */
import { parseArgs } from "node:util";
import { startPlatformServer } from "./platformServer.js";

const { values } = parseArgs({ options: { port: { type: "string", default: "0" } } });
const platform = await startPlatformServer({ port: Number(values.port) });
process.stdout.write(`${JSON.stringify({ url: platform.url })}\n`);
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => void platform.close());
}
