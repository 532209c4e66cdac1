/**
 * Runs an agent from its settings file until it is stopped.
 */
import { ConfigurationError } from "@lovagepitch/configuration/configurationError";
import { loadAgentSettings } from "@lovagepitch/configuration/loadAgentSettings";
import { readFile } from "node:fs/promises";
import { AgentProcess } from "./agentProcess.js";
import { scheduleHeapTrim } from "./heapLimits.js";

const stopSignals = ["SIGTERM", "SIGINT"] as const;

/** Reason why an agent ended. */
export type AgentExitReason = "stopped" | "registration-lost";

/**
 * Runs an agent until it receives a stop signal or loses its registration, and then shuts it down gracefully.
 *
 * @param settingsPath - path of the settings file, JSON with comments
 * @returns the reason why the agent ended
 * @throws ConfigurationError, LinkError or LocalServerError, whose messages name the remedy
 */
export async function runAgent(settingsPath: string): Promise<AgentExitReason> {
    const settings = loadAgentSettings(await readSettings(settingsPath), settingsPath);
    if (settings.err) {
        throw settings.val;
    }
    const agent = new AgentProcess(settings.val);
    const stopRequested = new Promise<AgentExitReason>(resolve => {
        for (const signal of stopSignals) {
            process.on(signal, () => resolve("stopped"));
        }
    });
    await agent.start();
    scheduleHeapTrim();
    const registrationLost = agent.whenRegistrationLost.then((): AgentExitReason => "registration-lost");
    const exitReason = await Promise.race([stopRequested, registrationLost]);
    await agent.stop();
    return exitReason;
}

async function readSettings(settingsPath: string): Promise<string> {
    try {
        return await readFile(settingsPath, "utf8");
    }
    catch (error) {
        const problem = error instanceof Error ? error.message : String(error);
        const issue = { path: "", problem, remedy: "name a settings file that this process may read" };
        throw new ConfigurationError("unreadable", [issue], settingsPath);
    }
}
