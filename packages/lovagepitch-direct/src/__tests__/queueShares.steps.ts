import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CapacityAdmission } from "../policies/admission.js";
import { QueueShares, type ShareSettings } from "../policies/queueShares.js";
import { RoomRate } from "../policies/roomRate.js";
import { compareWaitingWork } from "../policies/waitingOrder.js";

const queues = ["first", "second", "third"];
const halfAssured: ShareSettings = { assuredPart: 0.5, weights: {}, otherWeight: 1 };

let now = 0;
let shares = new QueueShares(undefined);
let room = new RoomRate();
let heardShare = 1;

function startWith(settings: ShareSettings | undefined): void {
    now = 0;
    shares = new QueueShares(settings);
    room = new RoomRate();
}

function serve(seconds: number, demand: readonly number[], served: readonly number[]): void {
    for (const end = now + seconds * 1000; now < end; now += 10) {
        queues.forEach((queue, index) => {
            if (demand[index]! > 0) {
                shares.recordArrival("service", queue, demand[index]! * 10, now);
                shares.recordPlacement("service", queue, served[index]! * 10, now);
            }
        });
    }
}

function readNumbers(list: string): readonly number[] {
    return [...list.matchAll(/\d+/g)].map(Number);
}

function observe(milliseconds: number, milliCoresEach: number, isContended: boolean, heard: number): void {
    for (const end = now + milliseconds; now < end; now += 5) {
        room.record(milliCoresEach * 5, isContended, heard, now);
    }
}

Given("queues of equal weight that are assured of half of the room", () => startWith(halfAssured));

Given("no shares", () => startWith(undefined));

Given(/^weights ([\d, and]+) for the queues$/, (list: string) => {
    const weights = readNumbers(list);
    const byQueue = Object.fromEntries(queues.map((queue, index) => [queue, weights[index]!]));
    startWith({ ...halfAssured, weights: byQueue });
});

When(/^(\d+) s of demand ([\d, and]+) are served in full$/, (seconds: string, demand: string) => {
    serve(Number(seconds), readNumbers(demand), readNumbers(demand));
});

When(
    /^(\d+) s of demand ([\d, and]+) are served by ([\d, and]+)$/,
    (seconds: string, demand: string, served: string) => {
        serve(Number(seconds), readNumbers(demand), readNumbers(served));
    },
);

When("every placement of the third queue is returned", () => {
    const used = shares.list(now).find(({ queue }) => queue === "third")?.used ?? 0;
    shares.recordPlacement("service", "third", -used * 2000, now);
});

Then(/^the queues are (.+)$/, (states: string) => {
    const expected = [...states.matchAll(/"(\w+)"/g)].map(match => match[1]);
    assert.deepEqual(queues.map(queue => shares.readState("service", queue, now)), expected);
});

Then("{int} queues are known", (count: number) => {
    assert.equal(shares.list(now).length, count);
});

Then("the third queue got 0 cores", () => {
    assert.equal(shares.list(now).find(({ queue }) => queue === "third")?.used, 0);
});

Then("of waiting jobs, the started one goes first, then that of a short queue, then the most urgent one", () => {
    const started = { isBegun: true, isShort: false, priority: 2, latestStart: 900 };
    const short = { isBegun: false, isShort: true, priority: 2, latestStart: 900 };
    const urgent = { isBegun: false, priority: 0, latestStart: 50 };
    assert.deepEqual([urgent, short, started].sort(compareWaitingWork), [started, short, urgent]);
});

Given(
    "{int} cores per ms were freed while jobs waited, with {float} of the workers heard from",
    (cores: number, heard: number) => {
        heardShare = heard;
        observe(3000, cores * 1000, true, 1);
    },
);

Given("jobs have waited for {int} ms", (milliseconds: number) => observe(milliseconds, 1000, true, 1));

When("no worker is heard from for {int} ms", (milliseconds: number) => observe(milliseconds, 0, true, 0));

When("no job waits for {int} ms", (milliseconds: number) => observe(milliseconds, 0, false, 1));

Then(
    /^a job of 8 cores with (\d+) cores ahead and 100 ms to spare (waits|is refused)$/,
    (cores: string, result: string) => {
        const canServe = new CapacityAdmission().canServe({
            roomAhead: Number(cores) * 1000,
            ownRoom: 8000,
            roomRate: room.read(now),
            heardShare,
            spareMilliseconds: 100,
        });
        assert.equal(canServe, result === "waits");
    },
);

Then("the rate of freed room is {int} cores per ms", (cores: number) => {
    const rate = room.read(now) ?? 0;
    assert.ok(Math.abs(rate / 1000 - cores) < 0.02, `${rate}`);
});

Then("the rate of freed room is not known", () => {
    assert.equal(room.read(now), undefined);
});
