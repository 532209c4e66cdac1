import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { reportIntervalMilliseconds } from "../../direct/workerReports.js";

const formerCores = 16;
const presentCores = 4;

/** Time between two tested phases of the kill within the interval of reports, in milliseconds. */
const phaseStepMilliseconds = 150;

const absenceStepMilliseconds = 250;

/** Time between the end of the agent and the change of the capacity, in milliseconds. */
const shrinkDelayMilliseconds = 50;

/** Time after the return of the agent for which jobs arrive, in milliseconds; the former capacity does not count at its end. */
const observedMilliseconds = 5000;

const jobIntervalMilliseconds = 50;
const taskMilliseconds = 600;

/** Time between the request to shut down and the end of the process, in milliseconds. */
const shutdownMilliseconds = 100;

/** Start and end of another process of the agent, in milliseconds after the end of the first one. */
const interimProcess = { startsAt: 100, endsAt: 200 };

/** One course of events. */
interface Course {
    /** Time from a report until the agent is killed, in milliseconds. */
    readonly phase: number;
    readonly absence: number;
    readonly kind: string;
}

interface Observation {
    readonly course: Course;
    readonly violations: readonly string[];
    /** Time from the return of the agent until the first start, in milliseconds; undefined without a start. */
    readonly firstStartAfter: number | undefined;
}

let observations: readonly Observation[] = [];

function observe(course: Course): Observation {
    const deployment = new DirectDeployment({
        entries: 1,
        workers: 1,
        milliCores: formerCores * 1000,
        getTaskDurationMilliseconds: () => taskMilliseconds,
        seed: 1,
    });
    const untilReport = reportIntervalMilliseconds - deployment.clock.nowMilliseconds() % reportIntervalMilliseconds;
    // The agent has heard one report more than its record is made from.
    deployment.advance(untilReport + reportIntervalMilliseconds + course.phase);
    const shrink = (cores: number): void => deployment.fleet.setCapacity(0, cores * 1000);
    if (course.kind === "and the store has lost the record of a smaller one") {
        deployment.losesRecords = true;
        shrink(presentCores * 2);
        deployment.advance(reportIntervalMilliseconds);
    }
    if (course.kind === "after the agent was shut down gracefully") {
        deployment.shutDownAgent(0);
        deployment.advance(shutdownMilliseconds);
    }
    const killedAt = deployment.clock.nowMilliseconds();
    deployment.killAgent(0);
    if (course.kind === "while its entry is killed too") {
        deployment.killEntry(0);
    }
    deployment.queue.schedule(killedAt + shrinkDelayMilliseconds, () => shrink(presentCores), undefined);
    if (course.kind === "and another process of the agent has lived in between") {
        deployment.queue.schedule(
            killedAt + interimProcess.startsAt,
            () => deployment.restartAgent(0, "record"),
            undefined,
        );
        deployment.queue.schedule(killedAt + interimProcess.endsAt, () => deployment.killAgent(0), undefined);
    }
    deployment.advance(course.absence);
    if (course.kind === "while its entry is killed too") {
        deployment.restartEntry(0);
    }
    deployment.restartAgent(0, "record");
    const { startCount } = deployment.record;
    let firstStartAfter: number | undefined;
    for (let elapsed = 0; elapsed < observedMilliseconds; elapsed += jobIntervalMilliseconds) {
        const id = (elapsed + 1).toString(16).padStart(16, "0");
        const needs = { milliCores: 1000, memoryMegabytes: 64, accelerators: 0 };
        deployment.submit(0, { id, taskCount: formerCores / 4, needs, estimatedMilliseconds: taskMilliseconds });
        deployment.advance(jobIntervalMilliseconds);
        firstStartAfter ??= deployment.record.startCount > startCount ? elapsed + jobIntervalMilliseconds : undefined;
    }
    return { course, violations: deployment.record.violations, firstStartAfter };
}

When(
    /^a worker shrinks while its agent is away, at each phase of its reports, for (\d+) to (\d+) ms, (.*)$/,
    { timeout: 120_000 },
    (shortest: string, longest: string, kind: string) => {
        const courses: Course[] = [];
        for (let phase = 0; phase < reportIntervalMilliseconds; phase += phaseStepMilliseconds) {
            for (let absence = Number(shortest); absence <= Number(longest); absence += absenceStepMilliseconds) {
                courses.push({ phase, absence, kind });
            }
        }
        observations = courses.map(observe);
    },
);

Then("no worker was filled beyond its capacity", () => {
    const failed = observations.filter(({ violations }) => violations.length > 0);
    const examples = failed.slice(0, 3).map(({ course, violations }) => `${JSON.stringify(course)}: ${violations[0]}`);
    assert.equal(failed.length, 0, `${failed.length} of ${observations.length}: ${examples.join("; ")}`);
});

Then("each worker got tasks within {int} ms after its agent was back", (maximum: number) => {
    const late = observations.filter(({ firstStartAfter = Number.POSITIVE_INFINITY }) => firstStartAfter > maximum);
    assert.equal(late.length, 0, JSON.stringify(late.slice(0, 3)));
});
