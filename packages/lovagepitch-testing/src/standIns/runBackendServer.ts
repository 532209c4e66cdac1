/**
 * Runs the backend server stand-in as a process. It prints its base URL as a line of JSON when it listens.
 */
import { parseArgs } from "node:util";
import { BackendServer } from "./backendServer.js";

const { values } = parseArgs({
    options: {
        "port": { type: "string", default: "0" },
        "agent": { type: "string" },
        "worker": { type: "string", default: "worker" },
        "availability-zone": { type: "string", default: "zone" },
        "slots": { type: "string", default: "8" },
        "connections": { type: "string", default: "64" },
        "services": { type: "string", default: "alerts" },
    },
});
if (values.agent === undefined) {
    throw new Error("--agent is missing; pass the base URL of the agent's local port");
}
const server = new BackendServer({
    port: Number(values.port),
    agentUrl: values.agent,
    worker: values.worker,
    availabilityZone: values["availability-zone"],
    slots: Number(values.slots),
    connections: Number(values.connections),
    services: values.services.split(","),
});
await server.start();
console.log(JSON.stringify({ listening: server.url }));
process.on("SIGTERM", () => {
    void server.stop().then(() => process.exit(0));
});
