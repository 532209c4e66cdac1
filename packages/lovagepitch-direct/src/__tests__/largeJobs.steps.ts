import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { AgentOutput, ReportedRunEnd, WorkerRun } from "../agent/agentPorts.js";
import { formatRunKey, pickRunIdentity, type StartOrder } from "../model/frames.js";
import { AgentDriver, createOrder } from "./agentDriver.js";

type Order = AgentOutput & { readonly kind: "start" | "stop" };

const answerMilliseconds = 5;
const viewMilliseconds = 2;
const taskMilliseconds = 10_000;

/** Worker that starts every task and answers each order on its own. */
class ScriptedWorker {
    public readonly agent = new AgentDriver(false);
    public answersStarts = true;
    public answersStops = true;
    public answersViews = true;
    public readonly running = new Map<string, WorkerRun & { readonly startedAt: number }>();
    public readonly sent: Order[] = [];
    public readonly largestUnanswered = { start: 0, stop: 0 };
    private readonly unanswered = { start: 0, stop: 0 };
    private ended: ReportedRunEnd[] = [];
    private endSequence = 0;
    private readOutputs = 0;
    private answers: { readonly at: number; readonly deliver: () => void }[] = [];

    public constructor() {
        this.agent.prepare("life-1");
        this.readNewOutputs();
    }

    public pass(milliseconds: number): void {
        const endsAt = this.agent.now + milliseconds;
        this.readNewOutputs();
        while (this.agent.now < endsAt) {
            this.agent.advance(1);
            this.readNewOutputs();
            const due = this.answers.filter(({ at }) => at <= this.agent.now);
            this.answers = this.answers.filter(({ at }) => at > this.agent.now);
            due.forEach(({ deliver }) => deliver());
            this.readNewOutputs();
            this.agent.receiveStarts([]);
            this.readNewOutputs();
        }
    }

    private readNewOutputs(): void {
        for (; this.readOutputs < this.agent.outputs.length; this.readOutputs += 1) {
            const output = this.agent.outputs[this.readOutputs];
            if (output?.kind === "start" || output?.kind === "stop") {
                this.receiveOrder(output);
            }
            else if (output?.kind === "view") {
                this.receiveView(output);
            }
        }
    }

    private receiveOrder(order: Order): void {
        const { kind, life, run, timeoutMilliseconds } = order;
        this.sent.push(order);
        this.unanswered[kind] += 1;
        this.largestUnanswered[kind] = Math.max(this.largestUnanswered[kind], this.unanswered[kind]);
        const isAnswered = kind === "start" ? this.answersStarts : this.answersStops;
        this.schedule(isAnswered ? answerMilliseconds : timeoutMilliseconds, () => {
            this.unanswered[kind] -= 1;
            if (isAnswered) {
                this.execute(order);
            }
            const outcome = isAnswered ? "accepted" : "unknown";
            this.agent.accept({ kind: `${kind}-answered`, life, run, outcome });
        });
    }

    private execute({ kind, run }: Order): void {
        const key = formatRunKey(run);
        if (kind === "start") {
            this.running.set(key, { ...run, startedAt: this.agent.now });
        }
        else if (this.running.delete(key)) {
            this.endSequence += 1;
            this.ended.push({ ...run, sequence: this.endSequence, end: "stopped" });
        }
    }

    private receiveView(view: AgentOutput & { readonly kind: "view" }): void {
        const { call, timeoutMilliseconds, acknowledgedEndSequence } = view;
        if (!this.answersViews) {
            this.schedule(timeoutMilliseconds, () => {
                this.agent.accept({ kind: "view-failed", call, failure: { kind: "unknown" } });
            });
            return;
        }
        this.schedule(viewMilliseconds, () => {
            this.ended = this.ended.filter(({ sequence }) => sequence > acknowledgedEndSequence);
            const running = [...this.running.values()].map(({ startedAt, ...run }) => {
                return { ...run, percent: Math.floor(100 * (this.agent.now - startedAt) / taskMilliseconds) };
            });
            const workerClock = this.agent.now;
            this.agent.accept({ kind: "view", call, view: { workerClock, running, ended: [...this.ended] } });
        });
    }

    private schedule(milliseconds: number, deliver: () => void): void {
        this.answers.push({ at: this.agent.now + milliseconds, deliver });
    }
}

let worker = new ScriptedWorker();
let ordered: readonly StartOrder[] = [];

function createOrders(job: string, tasks: number): readonly StartOrder[] {
    return Array.from({ length: tasks }, (_, task) => ({
        ...createOrder(job),
        task,
        needs: { milliCores: 1, memoryMegabytes: 1, accelerators: 0 },
        estimatedMilliseconds: taskMilliseconds,
        urgency: { priority: 0, isBegun: false, spareMilliseconds: 5000 },
        maximumPerWorker: 10_000,
    }));
}

function countSent(kind: "start" | "stop"): number {
    return worker.sent.filter(order => order.kind === kind).length;
}

Given("an agent whose worker answers each order after 5 ms", () => {
    worker = new ScriptedWorker();
});

When("an entry orders the {int} tasks of a job", (tasks: number) => {
    ordered = createOrders("large", tasks);
    worker.agent.receiveStarts(ordered);
});

When("an entry orders {int} tasks of another job", (tasks: number) => {
    worker.agent.receiveStarts(createOrders("small", tasks));
});

When("{int} ms pass with these orders", (milliseconds: number) => worker.pass(milliseconds));

When("the entry stops the job", () => {
    worker.agent.receiveStarts([], 0, { stops: ordered.map(pickRunIdentity) });
    worker.pass(1);
});

When("the worker answers no stop, and the entry stops the job", () => {
    worker.answersStops = false;
    worker.agent.receiveStarts([], 0, { stops: ordered.map(pickRunIdentity) });
});

When("the worker answers nothing", () => {
    Object.assign(worker, { answersStarts: false, answersStops: false, answersViews: false });
});

When("the worker answers no order, but views", () => {
    Object.assign(worker, { answersStarts: false, answersStops: false });
});

When("the worker answers each order again", () => {
    Object.assign(worker, { answersStarts: true, answersStops: true, answersViews: true });
});

Then(/^at most (\d+) (start|stop) orders were unanswered at a time$/, (count: string, kind: "start" | "stop") => {
    const unanswered = worker.largestUnanswered[kind];
    assert.ok(unanswered > 0 && unanswered <= Number(count), `${unanswered} orders`);
});

Then("each of the {int} tasks was ordered once and runs", (tasks: number) => {
    assert.equal(countSent("start"), tasks);
    assert.equal(worker.running.size, tasks);
    assert.deepEqual(worker.agent.listReportedEnds(), []);
});

Then("both tasks of the other job run", () => {
    assert.equal([...worker.running.values()].filter(({ job }) => job === "small").length, 2);
    assert.ok(worker.running.size < ordered.length, "the large job must not have been started yet");
});

Then("all runs have ended", () => {
    assert.equal(worker.running.size, 0);
    assert.deepEqual(worker.agent.listReportedEnds(), ordered.map(() => "stopped"));
});

Then(/^(\d+) (start|stop) orders were sent$/, (count: string, kind: "start" | "stop") => {
    assert.equal(countSent(kind), Number(count));
});

Then(
    "at most {int} start orders were sent, and the other tasks are reported as not started",
    (maximumOrders: number) => {
        const tasksOfOrders = new Set(worker.sent.flatMap(order => order.kind === "start" ? order.run.task : []));
        assert.ok(countSent("start") <= maximumOrders, `${countSent("start")} orders`);
        const returned = worker.agent.listReportedEnds().filter(end => end === "not-started");
        assert.ok(returned.length >= ordered.length - tasksOfOrders.size, `${returned.length} tasks returned`);
    },
);

Then("{int} tasks are reported as not started", (count: number) => {
    assert.equal(worker.agent.listReportedEnds().filter(end => end === "not-started").length, count);
});

Then("a task that was ordered last is reported with a run time below {int} ms", (milliseconds: number) => {
    const lastTask = worker.sent.findLast(({ kind }) => kind === "start")?.run.task;
    const ended = worker.agent.outputs
        .flatMap(output => output.kind === "frame" ? output.frame.ended : [])
        .find(({ task, end }) => task === lastTask && end === "stopped");
    assert.ok(ended !== undefined && ended.ranMilliseconds < milliseconds, JSON.stringify(ended));
});

When("a view lists neither of them, and says that there may be more ends", () => {
    worker.agent.answerView({ running: [], ended: [], hasMoreEnds: true });
});

When("the next view lists both as succeeded", () => {
    worker.agent.advance(5);
    const ended = [...worker.running.values()].map(({ job, task, run }, index) => {
        return { job, task, run, sequence: index + 1, end: "succeeded" } as const;
    });
    worker.agent.answerView({ running: [], ended });
});

Then("no end is reported", () => assert.deepEqual(worker.agent.listReportedEnds(), []));

Then("both tasks are reported as succeeded", () => {
    worker.agent.advance(50);
    assert.deepEqual(worker.agent.listReportedEnds(), ["succeeded", "succeeded"]);
});
