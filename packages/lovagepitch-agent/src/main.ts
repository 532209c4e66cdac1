#!/usr/bin/env node
/**
 * Command line entry point of the agent.
 */
import { limitHeapGrowth } from "./process/heapLimits.js";
import { readCommandLine } from "./readCommandLine.js";

const failureExitCode = 1;

limitHeapGrowth();

try {
    const settingsPath = await readCommandLine(process.argv.slice(2));
    const { runAgent } = await import("./process/runAgent.js");
    const exitReason = await runAgent(settingsPath);
    process.exitCode = exitReason === "stopped" ? 0 : failureExitCode;
}
catch (error) {
    process.stderr.write(`lovagepitch-agent: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = failureExitCode;
}
