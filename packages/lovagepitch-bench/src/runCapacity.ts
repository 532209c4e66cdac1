/**
 * Runs one capacity experiment and prints its measurements and linear fits.
 */
import { parseArgs } from "node:util";
import type { Experiment } from "./capacity/experimentResult.js";
import { formatResult } from "./capacity/experimentResult.js";
import { AgentLoad } from "./capacity/experiments/agentLoad.js";
import { AgentMemory } from "./capacity/experiments/agentMemory.js";
import { ConfigurationSpread } from "./capacity/experiments/configurationSpread.js";
import { DeadEntrySweep } from "./capacity/experiments/deadEntrySweep.js";
import { EntryDecisions } from "./capacity/experiments/entryDecisions.js";
import { EntryJobs, EntryLoad } from "./capacity/experiments/entryLoad.js";
import { EntryMemory } from "./capacity/experiments/entryMemory.js";
import { IdleAgents } from "./capacity/experiments/idleAgents.js";
import { KeyClaims } from "./capacity/experiments/keyClaims.js";
import { ModuleMemory } from "./capacity/experiments/moduleMemory.js";
import { PlatformRequests } from "./capacity/experiments/platformRequests.js";
import { TargetFigures } from "./capacity/experiments/targetFigures.js";

const experiments: readonly Experiment[] = [
    new IdleAgents(),
    new AgentMemory(),
    new ModuleMemory(),
    new AgentLoad(),
    new EntryLoad(),
    new EntryJobs(),
    new EntryDecisions(),
    new EntryMemory(),
    new PlatformRequests(),
    new KeyClaims(),
    new DeadEntrySweep(),
    new ConfigurationSpread(),
    new TargetFigures(),
];
const usageExitCode = 2;
const maximumStartedProcesses = 120;

const { values } = parseArgs({
    options: { experiment: { type: "string" }, json: { type: "boolean", default: false } },
});
const chosen = experiments.find(experiment => experiment.name === values.experiment);
if (chosen === undefined) {
    const list = experiments.map(experiment => `  ${experiment.name}: ${experiment.description}`).join("\n");
    process.stderr.write(`usage: runCapacity.js --experiment NAME [--json]\n${list}\n`);
    process.exit(usageExitCode);
}
// Each child process adds an exit listener that kills it.
process.setMaxListeners(maximumStartedProcesses);
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    // Runs the exit listeners, which kill the child processes.
    process.once(signal, () => process.exit(1));
}
const result = await chosen.run();
process.stdout.write(`${values.json ? JSON.stringify(result, undefined, 4) : formatResult(result)}\n`);
