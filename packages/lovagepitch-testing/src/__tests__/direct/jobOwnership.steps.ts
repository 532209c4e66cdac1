import { Given, Then, When } from "@cucumber/cucumber";
import type { OwnershipMessage } from "@lovagepitch/direct/model/jobOwnership";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";

const longTaskMilliseconds = 4000;

const workerCount = 3;

const longJob = {
    id: "e000000000000001",
    taskCount: 8,
    estimatedMilliseconds: longTaskMilliseconds,
    callerWaitMilliseconds: 20_000,
} as const;

/** Time within which everything has ended, in milliseconds. */
const settlingMilliseconds = 12_000;

const ordinals = ["first", "second"];

let deployment = createDeployment();
let latestRequest = 0;

function createDeployment(): DirectDeployment {
    return new DirectDeployment({
        entries: 3,
        workers: workerCount,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: ({ job }) => job === longJob.id ? longTaskMilliseconds : 100,
    });
}

/** Number of its kind, from 1, of each message that a process has sent to all others at one instant. */
function createCounter(): (message: OwnershipMessage) => number {
    const sentAt = new Map<string, number[]>();
    return ({ kind, from }) => {
        const instants = sentAt.get(kind + from.incarnation) ?? [];
        sentAt.set(kind + from.incarnation, instants);
        const now = deployment.clock.nowMilliseconds();
        if (instants.at(-1) !== now) {
            instants.push(now);
        }
        return instants.length;
    };
}

function submitTo(entry: number, milliseconds: number): void {
    deployment.advance(milliseconds);
    latestRequest = deployment.submit(entry, longJob);
}

function hasStartedSince(job: string, milliseconds: number): boolean {
    const after = deployment.clock.nowMilliseconds() - milliseconds;
    const tasks = Array.from({ length: longJob.taskCount }, (_, task) => task);
    return tasks.some(task => deployment.record.findStart(job, task, after - 1) !== undefined);
}

Given("3 entries that know each other and a job of long tasks at entry 0", () => {
    deployment = createDeployment();
    submitTo(0, 0);
});

Given(/^(all|the first|the second|the first and second) (\S+) datagrams are lost$/, (which: string, kind: string) => {
    const count = createCounter();
    deployment.linkNetwork.datagramFault = (_, message) => {
        const number = message.kind === kind ? count(message) : 0;
        const isLost = number > 0 && (which === "all" || which.includes(ordinals[number - 1] ?? "none"));
        return { copies: isLost ? 0 : 1, delayMilliseconds: 0 };
    };
});

Given(
    "open-jobs datagrams from entry {int} to entry {int} and release-job datagrams from entry {int} to entry {int} are lost",
    (owner: number, asker: number, holder: number, silentTo: number) => {
        deployment.linkNetwork.datagramFault = (from, { kind }, to) => {
            const isLost = (kind === "open-jobs" && from === owner && to === asker)
                || (kind === "release-job" && from === holder && to === silentTo);
            return { copies: isLost ? 0 : 1, delayMilliseconds: 0 };
        };
    },
);

Given("datagrams arrive {int} ms late, {int} times", (delayMilliseconds: number, copies: number) => {
    deployment.linkNetwork.datagramFault = () => ({ copies, delayMilliseconds });
});

Given("copies of datagrams arrive {int} ms late", (delayMilliseconds: number) => {
    const { linkNetwork } = deployment;
    linkNetwork.datagramFault = () => ({ copies: 1, delayMilliseconds: 0, lateCopyMilliseconds: delayMilliseconds });
});

Given("another job of short tasks at entry 2", () => {
    deployment.submit(2, { id: "a000000000000001" });
});

When("the caller submits the long job to entry {int} after {int} ms", submitTo);

When(
    "the caller submits the long job to entry {int} after {int} ms, and its first open-jobs datagrams since are lost",
    (entry: number, milliseconds: number) => {
        submitTo(entry, milliseconds);
        const lostUntil = deployment.clock.nowMilliseconds() + 500;
        deployment.linkNetwork.datagramFault = (_, { kind }) => {
            const isLost = kind === "open-jobs" && deployment.clock.nowMilliseconds() < lostUntil;
            return { copies: isLost ? 0 : 1, delayMilliseconds: 0 };
        };
    },
);

When(
    "the caller submits the long job to entry {int} after {int} ms, with an estimate of {int} ms",
    (entry: number, milliseconds: number, estimatedMilliseconds: number) => {
        deployment.advance(milliseconds);
        latestRequest = deployment.submit(entry, { ...longJob, estimatedMilliseconds });
        deployment.advance(1000);
    },
);

When("entry 0 is killed {int} ms later, and its agents freeze for {int} ms", (later: number, milliseconds: number) => {
    deployment.advance(later);
    deployment.killEntry(0);
    deployment.workers.forEach((_, index) => deployment.setFrozen("agent", index, true));
    deployment.advance(milliseconds);
    deployment.workers.forEach((_, index) => deployment.setFrozen("agent", index, false));
});

When(
    "entry 0 is frozen {int} ms before the caller submits the long job to entry 1, for {int} ms",
    (before: number, milliseconds: number) => {
        deployment.advance(1300 - before);
        deployment.setFrozen("entry", 0, true);
        submitTo(1, before);
        deployment.advance(milliseconds - before);
        deployment.setFrozen("entry", 0, false);
    },
);

When("entry 1 is started again {int} ms before the caller submits the long job to it", (before: number) => {
    deployment.advance(1300 - before);
    deployment.killEntry(1);
    deployment.restartEntry(1);
    submitTo(1, before);
});

When("a job that no worker may run goes from entry 0 to entry 1 after {int} ms", (milliseconds: number) => {
    const job = { id: "c000000000000001", requiredLabel: "nowhere", callerWaitMilliseconds: 20_000 };
    const waiting = { ...job, estimatedMilliseconds: longTaskMilliseconds };
    deployment.submit(0, waiting);
    deployment.advance(milliseconds);
    latestRequest = deployment.submit(1, waiting);
    deployment.advance(settlingMilliseconds);
});

Given(
    "entry 0 has started tasks of the long job, of which entry 2 does not know, and no worker has room for them any more",
    () => {
        deployment.linkNetwork.datagramFault = (from, { kind }, to) => {
            const isLost = kind === "open-jobs" && from === 0 && to === 2;
            return { copies: isLost ? 0 : 1, delayMilliseconds: 0 };
        };
        deployment.advance(100);
        assert.ok(hasStartedSince(longJob.id, 100));
        deployment.workers.forEach((_, index) => deployment.fleet.setCapacity(index, 100));
    },
);

When("entry 0 is killed and the caller submits the long job to entry 1 after {int} ms", (milliseconds: number) => {
    deployment.advance(milliseconds);
    deployment.killEntry(0);
    submitTo(1, 0);
});

When("release-job datagrams to entry 2 are lost for {int} ms", (milliseconds: number) => {
    deployment.linkNetwork.datagramFault = (_, { kind }, to) => {
        return { copies: kind === "release-job" && to === 2 ? 0 : 1, delayMilliseconds: 0 };
    };
    deployment.advance(milliseconds);
    deployment.linkNetwork.datagramFault = () => ({ copies: 1, delayMilliseconds: 0 });
});

Then(
    "entry 2 has released the long job and started nothing, after entry 1 no longer waited for entry 0",
    () => {
        const { ownershipMessages } = deployment.linkNetwork;
        const askedBefore = ownershipMessages.length;
        deployment.advance(settlingMilliseconds);
        const asked = ownershipMessages.slice(askedBefore).filter(({ kind }) => kind === "release-job");
        assert.deepEqual([...new Set(asked.map(message => "owner" in message ? message.owner : ""))].length, 1);
        const notices = ownershipMessages.filter(message => message.kind === "job-released");
        assert.ok(notices.length > 0);
        assert.ok(notices.every(({ mayHaveStarted }) => !mayHaveStarted), JSON.stringify(notices));
    },
);

Then("no task of the long job ran twice at the same time, and it was done at entry {int}", (entry: number) => {
    deployment.advance(settlingMilliseconds);
    const { violations, answers } = deployment.record;
    assert.deepEqual(violations, []);
    const answer = answers.find(({ request }) => request === latestRequest);
    assert.deepEqual([answer?.entry, answer?.answer.kind], [entry, "done"]);
});

Then("it has started within {int} ms, and no message named it", (milliseconds: number) => {
    deployment.advance(milliseconds);
    assert.ok(hasStartedSince("a000000000000001", milliseconds));
    deployment.advance(settlingMilliseconds);
    const named = deployment.linkNetwork.ownershipMessages.filter(message => {
        return JSON.stringify(message).includes("a000000000000001");
    });
    assert.deepEqual(named, []);
});

Then("the answer of entry 1 is {string}", (kind: string) => {
    const answer = deployment.record.answers.find(({ request }) => request === latestRequest);
    assert.equal(answer?.answer.kind, kind);
});

Then("tasks of the long job have started at entry 1 within {int} ms", (milliseconds: number) => {
    deployment.advance(milliseconds);
    assert.ok(hasStartedSince(longJob.id, milliseconds));
});

Then("entry 0 has interrupted the long job", () => {
    const answers = deployment.record.answers.filter(({ entry, job }) => entry === 0 && job === longJob.id);
    assert.ok(answers.length > 0);
    assert.ok(answers.every(({ answer }) => answer.kind === "interrupted"));
});
