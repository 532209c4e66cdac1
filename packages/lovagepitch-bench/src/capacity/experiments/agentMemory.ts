/**
 * Measures the memory of idle agent processes with different Node.js flags.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { CapacityRig } from "../capacityRig.js";
import { Experiment, type ExperimentResult, type MeasuredRow } from "../experimentResult.js";
import type { ProgramProcess } from "../programProcess.js";

const slots = 8;
const agentsPerVariant = 3;
const settleMilliseconds = 10_000;
const measureMilliseconds = 15_000;
const bytesPerMegabyte = 1024 * 1024;

const engineFlagVariants: readonly (readonly string[])[] = [
    [],
    ["--max-semi-space-size=1"],
    ["--max-old-space-size=24"],
    ["--single-threaded-gc"],
    ["--v8-pool-size=0"],
    ["--no-opt"],
    ["--max-lazy", "--no-flush-bytecode"],
    ["--max-semi-space-size=1", "--single-threaded-gc", "--v8-pool-size=0"],
];

/** Idle agents, started with different Node.js flags. */
export class AgentMemory extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "agent-memory";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "memory of idle agent processes, by Node.js flags";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rig = await CapacityRig.start({ entries: 1, hostedAgents: 0, slots });
        const started: { readonly flags: string; readonly processes: readonly ProgramProcess[] }[] = [];
        let position = 0;
        for (const flags of engineFlagVariants) {
            const processes: ProgramProcess[] = [];
            for (let number = 0; number < agentsPerVariant; number += 1) {
                processes.push(await rig.startAgentProcess(position, slots, flags));
                position += 1;
            }
            started.push({ flags: flags.join(" ") || "none", processes });
        }
        await rig.waitForAgents(position);
        await sleep(settleMilliseconds);
        const before = started.map(({ processes }) => sumProcessorSeconds(processes));
        await sleep(measureMilliseconds);
        const rows = started.map(({ flags, processes }, index): MeasuredRow => {
            const seconds = sumProcessorSeconds(processes) - before[index]!;
            const resident = processes.map(one => one.usage.residentBytes / bytesPerMegabyte);
            return {
                "flags": flags,
                "least resident MB": Math.min(...resident),
                "most resident MB": Math.max(...resident),
                "private MB": computeMean(processes.map(one => one.privateBytes / bytesPerMegabyte)),
                "core %": 100_000 * seconds / measureMilliseconds / processes.length,
            };
        });
        await rig.stop();
        return { rows, fits: [] };
    }
}

function sumProcessorSeconds(processes: readonly ProgramProcess[]): number {
    return processes.reduce((sum, one) => sum + one.usage.processorSeconds, 0);
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
