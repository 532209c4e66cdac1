/**
 * Runs many agents in one process, for measurements of entries. Each agent has its real core, links, local port and
 * platform connection; all agents share one backend server stand-in. The argument is the path of a `HostedAgentsFile`.
 * Prints a line when all agents are ready, and one for each configuration version that is in force at all of them.
 */
import { AgentProcess } from "@lovagepitch/agent/process/agentProcess";
import { BackendServer } from "@lovagepitch/testing/standIns/backendServer";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { capacityService } from "./capacityManifest.js";
import type { HostedAgentsFile } from "./hostedAgentsFile.js";

const backendConnections = 64;
const startPollMilliseconds = 5;
const versionPollMilliseconds = 50;
const unusedAgentUrl = "http://127.0.0.1:9";

const { slots, agents: settings } = JSON.parse(readFileSync(process.argv[2]!, "utf8")) as HostedAgentsFile;
const backendServer = new BackendServer({
    port: 0,
    // Unused: each agent receives the announcement of the backend server directly.
    agentUrl: unusedAgentUrl,
    worker: "worker",
    availabilityZone: "zone-1",
    slots,
    connections: backendConnections,
    services: [capacityService],
});
await backendServer.start();
const announcement = { url: backendServer.url, slots, connections: backendConnections, services: [capacityService] };

/** Starts an agent and waits until it is ready, so that agents do not register concurrently. */
async function startAgent(position: number): Promise<AgentProcess> {
    const agent = new AgentProcess(settings[position]!);
    await agent.start();
    agent.handleAnnouncement(announcement);
    while (agent.findMissingConditions().length > 0) {
        await sleep(startPollMilliseconds);
    }
    return agent;
}

const agents: AgentProcess[] = [];
for (let position = 0; position < settings.length; position += 1) {
    agents.push(await startAgent(position));
}
console.log(JSON.stringify({ hosted: agents.length }));
let version = 0;
for (;;) {
    const lowest = Math.min(...agents.map(agent => Number(agent.createStatusDocument()["configurationVersion"])));
    if (lowest > version) {
        version = lowest;
        console.log(JSON.stringify({ version }));
    }
    await sleep(versionPollMilliseconds);
}
