import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";

const longTaskMilliseconds = 4000;

const job = {
    id: "e000000000000002",
    taskCount: 4,
    estimatedMilliseconds: longTaskMilliseconds,
    callerWaitMilliseconds: 20_000,
} as const;

const shortJob = { id: "a000000000000002" } as const;

/** Time within which everything has ended, in milliseconds. */
const settlingMilliseconds = 12_000;

/** Time after which the entries have started and know each other, in milliseconds. */
const startMilliseconds = 4000;

let deployment = createDeployment();

function createDeployment(): DirectDeployment {
    return new DirectDeployment({
        entries: 3,
        workers: 3,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: run => run.job === job.id ? longTaskMilliseconds : 100,
    });
}

function countRunningTasks(): number {
    return deployment.record.listRunningTasks().filter(task => task.includes(job.id)).length;
}

function listAnswers(): readonly string[] {
    return deployment.record.answers
        .filter(answer => answer.job === job.id && answer.answer.kind === "done")
        .map(({ entry }) => String(entry));
}

function freeze(entry: number): void {
    deployment.setFrozen("entry", entry, true);
}

function thaw(entry: number): void {
    deployment.setFrozen("entry", entry, false);
}

Given(/^3 entries, and (no datagram is lost|datagrams arrive 100 ms late)$/, (what: string) => {
    deployment = createDeployment();
    deployment.advance(startMilliseconds);
    const delayMilliseconds = what.startsWith("no") ? 0 : 100;
    deployment.linkNetwork.datagramFault = () => ({ copies: 1, delayMilliseconds });
});

Given("3 entries, of which no answer to an inquiry arrives", () => {
    deployment = createDeployment();
    deployment.advance(startMilliseconds);
    deployment.linkNetwork.datagramFault = (_, { kind }) => {
        return { copies: kind === "jobs-not-open" ? 0 : 1, delayMilliseconds: 0 };
    };
});

Given(/^3 entries, and the first (\S+) datagrams are lost$/, (kind: string) => {
    deployment = createDeployment();
    deployment.advance(startMilliseconds);
    let firstAt: number | undefined;
    deployment.linkNetwork.datagramFault = (_, message) => {
        const now = deployment.clock.nowMilliseconds();
        firstAt ??= message.kind === kind ? now : undefined;
        return { copies: message.kind === kind && firstAt === now ? 0 : 1, delayMilliseconds: 0 };
    };
});

When(
    "entry 0 is frozen for {int} ms, and a job is submitted to it after 200 ms and to entry 1 after {int} ms",
    (frozen: number, second: number) => {
        freeze(0);
        deployment.advance(200);
        deployment.submit(0, job);
        deployment.advance(second - 200);
        deployment.submit(1, job);
        deployment.advance(frozen - second);
        thaw(0);
    },
);

When("entry 0 is frozen for {int} ms, and a job is submitted to it after 200 ms", (frozen: number) => {
    freeze(0);
    deployment.advance(200);
    deployment.submit(0, job);
    deployment.advance(frozen - 200);
    thaw(0);
});

When(
    "entries 0 and 1 are frozen for {int} ms and {int} ms, and a job is submitted to the first after 200 ms and to the second after {int} ms",
    (first: number, second: number, resubmission: number) => {
        freeze(0);
        freeze(1);
        deployment.advance(200);
        deployment.submit(0, job);
        deployment.advance(resubmission - 200);
        deployment.submit(1, job);
        deployment.advance(first - resubmission);
        thaw(0);
        deployment.advance(second - first);
        thaw(1);
    },
);

When("a job is submitted to entry 1", () => {
    deployment.submit(1, job);
});

When(
    "entry 0 is cut off after 900 ms until {int} ms, and the job is submitted to it after {int} ms",
    (endsAt: number, submittedAt: number) => {
        const begin = deployment.clock.nowMilliseconds();
        const advanceTo = (milliseconds: number): void => {
            deployment.advance(begin + milliseconds - deployment.clock.nowMilliseconds());
        };
        advanceTo(900);
        deployment.setPartitioned("entry", 0, true);
        if (submittedAt < endsAt) {
            advanceTo(submittedAt);
            deployment.submit(0, job);
        }
        advanceTo(endsAt);
        deployment.setPartitioned("entry", 0, false);
        if (submittedAt >= endsAt) {
            advanceTo(submittedAt);
            deployment.submit(0, job);
        }
    },
);

When(
    "entry 0 is frozen after 500 ms until {int} ms, and the job is submitted to it after {int} ms",
    (endsAt: number, submittedAt: number) => {
        deployment.advance(500);
        freeze(0);
        deployment.linkNetwork.datagramFault = (...[, , to]) => {
            return { copies: to === 0 ? 0 : 1, delayMilliseconds: 0 };
        };
        deployment.advance(endsAt - 500);
        deployment.linkNetwork.datagramFault = () => ({ copies: 1, delayMilliseconds: 0 });
        thaw(0);
        deployment.advance(submittedAt - endsAt);
        deployment.submit(0, job);
    },
);

When("entry 2 ends without a notice", () => deployment.killEntry(2));

When("{int} ms pass after the freeze", (milliseconds: number) => deployment.advance(milliseconds));

When("a job of short tasks is submitted to entry 0", () => {
    deployment.submit(0, shortJob);
    deployment.advance(settlingMilliseconds);
});

Then("no task of the job ran twice at the same time, and entry {int} has done it", (entry: number) => {
    deployment.advance(settlingMilliseconds);
    assert.deepEqual(deployment.record.violations, []);
    assert.deepEqual(listAnswers(), [String(entry)]);
});

Then("no task of the job ran twice at the same time, and one entry has done it", () => {
    deployment.advance(settlingMilliseconds);
    assert.deepEqual(deployment.record.violations, []);
    assert.equal(listAnswers().length, 1);
});

Then("tasks of the job run", () => assert.equal(countRunningTasks(), job.taskCount));

Then("no task of the job runs", () => assert.equal(countRunningTasks(), 0));

Then("entry 0 has done the job", () => {
    deployment.advance(settlingMilliseconds);
    assert.deepEqual(listAnswers(), ["0"]);
});

Then("it is done, and no entry was asked for it", () => {
    assert.ok(deployment.record.answers.some(({ job: id, answer }) => id === shortJob.id && answer.kind === "done"));
    const named = deployment.linkNetwork.ownershipMessages.filter(message => {
        return JSON.stringify(message).includes(shortJob.id);
    });
    assert.deepEqual(named, []);
});
