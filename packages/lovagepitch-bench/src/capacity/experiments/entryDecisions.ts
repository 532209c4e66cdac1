/**
 * Measures the processor time of the entries' ticks, with the real cores on a simulated clock.
 */
import { EntryCore } from "@lovagepitch/entry/core/entryCore";
import type { EntryOutput } from "@lovagepitch/entry/core/entryOutput";
import { createAgentPlacement, defaultDeployment } from "@lovagepitch/testing/harness/deploymentSettings";
import type { BenchDeployment } from "../../policy/deployments.js";
import { runDeployment } from "../../policy/runDeployment.js";
import { createWorkload } from "../../workload/createWorkload.js";
import { createCapacityManifest } from "../capacityManifest.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";

const agentCounts = [20, 80, 300];
const entryCounts = [1, 2, 4];
const warmUpAgents = 80;
const slots = 8;
const jobsPerAgent = 10;
const load = 0.8;
const seed = 1;
const workersPerRack = 3;
const deadlineMilliseconds = 60_000;
const microsecondsPerMillisecond = 1_000;

/** Processor time of the entries' ticks at 80 % load. */
export class EntryDecisions extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "entry-decisions";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "processor time of the entries' decisions per start, by agents and entries";

    /** {@inheritDoc Experiment.run} */
    public override run(): Promise<ExperimentResult> {
        // Warm-up run, so that the code is compiled before the measurement.
        measure(warmUpAgents, 1);
        const rows = agentCounts.flatMap(agents => entryCounts.map(entries => measure(agents, entries)));
        const variables = ["agents", "entries"];
        return Promise.resolve({
            rows,
            fits: [
                fitColumn(rows, "µs/start", "µs", variables),
                fitColumn(rows, "batches/start", "batches", variables),
                fitColumn(rows, "wasted messages/start", "messages", variables),
            ],
        });
    }
}

function measure(agents: number, entries: number): MeasuredRow {
    const deployment = createDeployment(agents, entries);
    const { teams } = deployment;
    const jobs = createWorkload({
        seed,
        slots: agents * slots,
        load,
        jobs: agents * jobsPerAgent,
        teams,
        deadlineMilliseconds,
    });
    const ticks = new TickTimer();
    const run = ticks.measure(() => runDeployment(deployment, jobs));
    const wasted = Object.values(run.wasted).reduce((sum, count) => sum + count, 0);
    return {
        agents,
        entries,
        "starts": run.startedTasks,
        "ticks/start": ticks.count / run.startedTasks,
        "µs/start": ticks.milliseconds * microsecondsPerMillisecond / run.startedTasks,
        "batches/start": run.batches / run.startedTasks,
        "wasted messages/start": wasted / run.startedTasks,
    };
}

function createDeployment(agents: number, entries: number): BenchDeployment {
    const manifest = createCapacityManifest(3, 1);
    const zone = manifest.availabilityZones[0]!;
    const service = manifest.services[0]!;
    return {
        name: "capacity",
        settings: {
            ...defaultDeployment,
            entries: Array.from({ length: entries }, () => ({ availabilityZone: zone })),
            agents: Array.from(
                { length: agents },
                (_unused, position) =>
                    createAgentPlacement(`worker-${position}`, `rack-${Math.floor(position / workersPerRack)}`, zone),
            ),
        },
        manifest,
        service: service.name,
        kind: service.kinds[0]!.name,
        teams: manifest.teams.map(team => team.name),
    };
}

/** Counts the ticks of all entry cores in this process and sums up their processor time. */
class TickTimer {
    public count = 0;
    public milliseconds = 0;

    /**
     * Measures all ticks during an action.
     *
     * @param action - action that runs the entry cores
     * @returns the action's result
     */
    public measure<Value>(action: () => Value): Value {
        const descriptor = Object.getOwnPropertyDescriptor(EntryCore.prototype, "tick")!;
        const tick = descriptor.value as (this: EntryCore) => readonly EntryOutput[];
        const record = (milliseconds: number): void => {
            this.count += 1;
            this.milliseconds += milliseconds;
        };
        Object.defineProperty(EntryCore.prototype, "tick", {
            ...descriptor,
            value(this: EntryCore) {
                const before = process.cpuUsage();
                const outputs = tick.call(this);
                const { user, system } = process.cpuUsage(before);
                record((user + system) / microsecondsPerMillisecond);
                return outputs;
            },
        });
        try {
            return action();
        }
        finally {
            Object.defineProperty(EntryCore.prototype, "tick", descriptor);
        }
    }
}
