/**
 * Measures the heap of an entry's core by the number of rows in its tables.
 */
import { createCapacityJob } from "../capacityManifest.js";
import { EntryCoreDriver } from "../entryCoreDriver.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow, renameFit } from "../experimentResult.js";
import { readHeapBytes } from "../readHeapBytes.js";

const agentCounts = [20, 80, 300, 1_300];
const waitingCounts = [5_000, 10_000, 20_000, 40_000];
const finishedCounts = [1_000, 2_000, 4_000];
const tasksPerJob = 20;
const taskMilliseconds = 100;
const slots = 8;

const fullAgentLoad = {
    slots,
    runningTasks: slots,
    standingByTasks: 0,
    standByLimit: 0,
    suspect: false,
    leaving: false,
};
const idleAgentLoad = { ...fullAgentLoad, slots: 1_000, runningTasks: 0 };

/** Heap by numbers of agents, waiting tasks and finished submissions. */
export class EntryMemory extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "entry-memory";
    /** {@inheritDoc Experiment.description} */
    public override readonly description = "heap of an entry's core by agents, waiting tasks and finished submissions";

    /** {@inheritDoc Experiment.run} */
    public override run(): Promise<ExperimentResult> {
        const agents = measure("agents", agentCounts, (driver, from, until) => {
            driver.announceAgents(from, until - from, fullAgentLoad);
        });
        const waiting = measure("waiting tasks", waitingCounts, (driver, from, until) => {
            driver.announceAgents(0, 1, fullAgentLoad);
            for (let task = from; task < until; task += tasksPerJob) {
                driver.submit(createCapacityJob(tasksPerJob, taskMilliseconds));
            }
        });
        const finished = measure("finished submissions", finishedCounts, (driver, from, until) => {
            driver.announceAgents(0, 1, idleAgentLoad);
            for (let submission = from; submission < until; submission += 1) {
                driver.reportSuccess(driver.submit(createCapacityJob(1, taskMilliseconds)), idleAgentLoad);
            }
        });
        const rows = [...agents, ...waiting, ...finished];
        return Promise.resolve({
            rows,
            fits: [
                renameFit(fitColumn(agents, "heap bytes", "bytes", ["count"]), "heap of agents"),
                renameFit(fitColumn(waiting, "heap bytes", "bytes", ["count"]), "heap of waiting tasks"),
                renameFit(fitColumn(finished, "heap bytes", "bytes", ["count"]), "heap of finished submissions"),
            ],
        });
    }
}

/** Measures the heap of a new core while one of its tables grows. */
function measure(
    held: string,
    counts: readonly number[],
    grow: (driver: EntryCoreDriver, from: number, until: number) => void,
): readonly MeasuredRow[] {
    const driver = new EntryCoreDriver();
    const empty = readHeapBytes();
    let from = 0;
    return counts.map(count => {
        grow(driver, from, count);
        from = count;
        const row = { held, count, "heap bytes": readHeapBytes() - empty, "waiting tasks": driver.waitingTasks };
        return row;
    });
}
