import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { fitsInto } from "../model/resources.js";
import { canStartJob } from "../policies/jobStart.js";
import { type PriorityRank, PriorityRanks } from "../policies/priorityRanks.js";
import { computeQueueAllowance } from "../policies/queueAllowance.js";
import { compareWaitingWork } from "../policies/waitingOrder.js";

const needs = { milliCores: 1600, memoryMegabytes: 64, accelerators: 0 };

let ranks = new PriorityRanks();

Then("waiting jobs with latest starts 900, 300, 50 and 600, the 600 started, are ordered 600, 50, 300, 900", () => {
    const jobs = [900, 300, 50, 600].map(latestStart => ({ latestStart, priority: 0, isBegun: latestStart === 600 }));
    assert.deepEqual(jobs.sort(compareWaitingWork).map(job => job.latestStart), [600, 50, 300, 900]);
});

Then("of jobs that have not started, one of priority 0 precedes one of priority 1 with an earlier latest start", () => {
    const urgent = { latestStart: 900, priority: 0, isBegun: false };
    const lessUrgent = { latestStart: 50, priority: 1, isBegun: false };
    assert.deepEqual([lessUrgent, urgent].sort(compareWaitingWork), [urgent, lessUrgent]);
});

Then(
    "a job of rank {string} with {int} ms to spare and capacity for {int} of {int} tasks {word} while others wait",
    (rank: string, spareMilliseconds: number, placeableTasks: number, maximumParallelTasks: number, result: string) => {
        const conditions = {
            rank: rank as PriorityRank,
            maximumParallelTasks,
            placeableTasks,
            spareMilliseconds,
        };
        assert.equal(canStartJob({ ...conditions, isContended: true }), result === "starts");
        assert.equal(canStartJob({ ...conditions, isContended: false }), true);
    },
);

When("jobs of priorities {int} and {int} arrived {int} and {int} ms ago", (
    first: number,
    second: number,
    firstAge: number,
    secondAge: number,
) => {
    ranks = new PriorityRanks();
    ranks.record("service-a", first, -firstAge);
    ranks.record("service-a", second, -secondAge);
});

Then("priority {int} has rank {string}", (priority: number, rank: string) => {
    assert.equal(ranks.rank("service-a", priority, 0), rank);
    assert.equal(ranks.rank("service-b", priority, 0), "only");
});

Then(
    /^a task of a job of rank "(\w+)" that has (not )?started may be queued at the agent of a full worker: (yes|no)$/,
    (rank: string, negation: string | null, expected: string) => {
        const allowance = computeQueueAllowance(negation === null, rank as PriorityRank, needs);
        assert.equal(fitsInto(needs, allowance), expected === "yes");
    },
);
