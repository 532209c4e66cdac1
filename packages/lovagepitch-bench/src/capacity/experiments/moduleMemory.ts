/**
 * Measures the memory of a process that loads only one of the agent's libraries.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Experiment, type ExperimentResult, type MeasuredRow } from "../experimentResult.js";
import { ProgramProcess, programs } from "../programProcess.js";

const settleMilliseconds = 1_000;
const bytesPerMegabyte = 1024 * 1024;

const libraries: readonly (readonly string[])[] = [
    [],
    ["undici"],
    ["undici/lib/api/index.js", "undici/lib/dispatcher/pool.js"],
    ["ws"],
    ["zod"],
    ["zod/mini"],
    ["tslog"],
    ["@trpc/server", "@trpc/server/adapters/ws"],
    ["polka"],
    ["prom-client"],
    ["yargs"],
    ["@lovagepitch/agent/process/agentProcess", "@lovagepitch/configuration/loadAgentSettings"],
];

const engineFlags: readonly (readonly string[])[] = [[], ["--optimize-for-size"]];

/** Memory that each of the agent's libraries adds to an empty process. */
export class ModuleMemory extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "module-memory";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "memory of a process that loads one library of the agent";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const flags of engineFlags) {
            for (const library of libraries) {
                rows.push(await measure(library, flags));
            }
        }
        return { rows, fits: [] };
    }
}

async function measure(library: readonly string[], flags: readonly string[]): Promise<MeasuredRow> {
    const loader = new ProgramProcess(programs.moduleLoad, library, flags);
    const match = await loader.waitForLine(/"loadedHeapBytes":(\d+)/);
    await sleep(settleMilliseconds);
    const row = {
        "library": library.join(" + ") || "none",
        "flags": flags.join(" ") || "none",
        "resident MB": loader.usage.residentBytes / bytesPerMegabyte,
        "private MB": loader.privateBytes / bytesPerMegabyte,
        "heap MB": Number(match[1]) / bytesPerMegabyte,
    };
    await loader.kill();
    return row;
}
