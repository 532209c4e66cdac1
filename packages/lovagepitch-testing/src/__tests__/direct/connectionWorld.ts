/**
 * Deployment whose connections, processes and workers fail at random while callers send their jobs again.
 */
import { FixedForwarding } from "@lovagepitch/direct/__tests__/fixedForwarding";
import { createEntryPolicies, type EntryPolicies } from "@lovagepitch/direct/policies/entryPolicies";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";

import { JobHistory } from "../../direct/jobHistory.js";
import { injectConnectionFault, injectForwardingFault } from "./connectionFaults.js";
import { getRepeatedTaskMilliseconds, RepeatingCallers } from "./repeatingCallers.js";

const entryCount = 2;
const workerCount = 4;
const workerMilliCores = 16_000;

/** Time without faults after which nothing of them may be left, in milliseconds; all callers give up within it. */
const settlingMilliseconds = 9000;

/** Longest time for which callers go on after the last fault, in milliseconds. */
const longestEndMilliseconds = 60_000;

/** A deployment and its callers. */
export class ConnectionWorld {
    public readonly deployment: DirectDeployment;
    public readonly callers: RepeatingCallers;
    private readonly random: RandomSource;
    private readonly faults: string[] = [];
    private readonly hasForwarding: boolean;

    /**
     * @param seed - determines the faults, the jobs and what the callers do
     * @param breaksForCallersAlone - true if connections may break for their callers alone
     * @param forwardingShare - part of the new jobs that entries pass on to each other; undefined if that depends on their load
     */
    public constructor(private readonly seed: number, breaksForCallersAlone = false, forwardingShare?: number) {
        this.random = new RandomSource(seed);
        const createPolicies = (): EntryPolicies => ({
            ...createEntryPolicies(),
            ...forwardingShare === undefined ? {} : { jobForwarding: new FixedForwarding(forwardingShare) },
        });
        this.hasForwarding = forwardingShare !== undefined;
        this.deployment = new DirectDeployment({
            entries: entryCount,
            createPolicies,
            workers: workerCount,
            milliCores: workerMilliCores,
            seed,
            getTaskDurationMilliseconds: getRepeatedTaskMilliseconds,
        });
        this.deployment.record.history = new JobHistory(this.deployment.clock);
        this.callers = new RepeatingCallers(this.deployment, entryCount, this.random, breaksForCallersAlone);
    }

    /**
     * Lets faults occur among arriving jobs, ends them, and waits until all callers have gone.
     *
     * @param count - number of faults
     */
    public runFaults(count: number): void {
        const { deployment, callers, random } = this;
        const endFaults: (() => void)[] = [];
        for (let index = 0; index < count; index += 1) {
            const { description, end } = this.hasForwarding && random.nextInteger(3) === 0
                ? injectForwardingFault(deployment, random)
                : injectConnectionFault(deployment, callers, random);
            this.faults.push(description);
            endFaults.push(() => {
                this.faults.push(`${deployment.clock.nowMilliseconds()} end of ${description}`);
                end();
            });
            callers.submitJobs(4 + random.nextInteger(8), 50 + random.nextInteger(400));
            if (random.nextInteger(2) === 0) {
                endFaults.shift()?.();
            }
        }
        endFaults.forEach(endFault => endFault());
        for (let passed = 0; callers.areOpen && passed < longestEndMilliseconds; passed += 500) {
            callers.pass(500);
        }
        callers.pass(settlingMilliseconds);
    }

    /**
     * Lists what broke a guarantee.
     *
     * @returns a line for each violation; empty if there was none
     */
    public listViolations(): readonly string[] {
        const { record } = this.deployment;
        this.deployment.workers.forEach(worker => worker.advance());
        record.checkRunningTasks();
        const busy = this.deployment.workers.flatMap((worker, index) => {
            const free = this.deployment.freeMilliCores(index);
            return free === workerMilliCores && !worker.isBusy
                ? []
                : [`worker ${index} is busy, or its agent reports only ${free} thousandths of a core as free`];
        });
        return [...record.violations, ...this.callers.violations, ...busy];
    }

    /** Asserts that nothing broke a guarantee. The message has the seed, and the history of the first violation's job. */
    public check(): void {
        const violations = this.listViolations();
        const history = this.deployment.record.listFirstViolationHistory();
        const message = [`seed ${this.seed}:`, ...violations.slice(0, 3), ...this.faults, ...history].join("\n");
        assert.equal(violations.length, 0, message);
    }
}
