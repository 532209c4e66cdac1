/**
 * Demo with real processes in two availability zones: runs jobs, kills an entry while jobs run, and prints a report.
 */
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { RealDeployment } from "../launcher/realDeployment.js";
import { readMetric } from "../launcher/realProcesses.js";
import { RecordedClient } from "../launcher/recordedClient.js";
import { submitToEntry } from "../launcher/submitToEntry.js";
import { checkDemo } from "./checkDemo.js";
import { describeAnswers, describePlaces, describeStarts, describeTimes } from "./demoReport.js";

const manifestFile = join(
    fileURLToPath(new URL("../../../..", import.meta.url)),
    "examples/cooperative/manifest.jsonc",
);
const jobFields = {
    team: "member-phones",
    service: "plant-alerts",
    kind: "thirst-alert",
    deadlineMilliseconds: 10_000,
} as const;
const steadyJobCount = 12;
const jobGapMilliseconds = 40;
const jobsDuringKill = 8;
const shortTaskMilliseconds = [60, 120, 200];
const longTaskMilliseconds = [500, 700];

const deployment = new RealDeployment({
    example: "cooperative",
    entryZones: ["kolonnawa", "dehiwala"],
    agentZones: ["kolonnawa", "kolonnawa", "dehiwala", "dehiwala"],
    services: ["plant-alerts"],
    slots: 8,
});

async function runSteadyJobs(client: RecordedClient): Promise<void> {
    const running = [];
    for (let position = 0; position < steadyJobCount; position += 1) {
        running.push(client.run(client.createJob(jobFields, shortTaskMilliseconds)));
        await sleep(jobGapMilliseconds);
    }
    await Promise.all(running);
}

async function runJobsWhileEntryIsKilled(client: RecordedClient): Promise<void> {
    const running = Array.from(
        { length: jobsDuringKill },
        () => client.run(client.createJob(jobFields, longTaskMilliseconds)),
    );
    await sleep(200);
    deployment.entries[0]?.process.signal("SIGKILL");
    await Promise.all(running);
}

async function resubmitElsewhere(client: RecordedClient): Promise<string> {
    const first = client.jobs[0];
    if (first?.result.kind !== "complete") {
        return "resubmission at both entries: skipped because the first job was not completed";
    }
    const { submission } = first.result.answer;
    const startsBefore = (await deployment.collectStarts()).starts.length;
    const answers = await Promise.all(deployment.entries.map(entry => submitToEntry(entry.url, submission, first.job)));
    const startsAfter = (await deployment.collectStarts()).starts.length;
    const same = answers.every(answer => answer !== undefined && answer === answers[0]);
    return `resubmission at both entries: ${same ? "the same answer" : "DIFFERENT ANSWERS"}, `
        + `${startsAfter - startsBefore} additional task starts`;
}

async function describeMessages(url: string): Promise<string> {
    const sent = await readMetric(url, "lovagepitch_entry_messages_sent_total");
    const received = await readMetric(url, "lovagepitch_entry_messages_received_total");
    const wasted = await readMetric(url, "lovagepitch_entry_wasted_messages_total");
    return `${sent} sent, ${received} received (${wasted} wasted)`;
}

async function runDemo(): Promise<number> {
    const startedAt = Date.now();
    await deployment.start(manifestFile);
    console.log(`started 2 entries, 4 agents and the stand-ins in ${Date.now() - startedAt} ms`);
    const client = new RecordedClient(deployment.entries.map(entry => entry.url), "issued-ids");
    const keyed = new RecordedClient(deployment.entries.map(entry => entry.url), "caller-keys");
    await runSteadyJobs(client);
    await runSteadyJobs(keyed);
    const resubmission = await resubmitElsewhere(client);
    const messages = await Promise.all(deployment.entries.map(entry => describeMessages(entry.url)));
    const tasks = (await deployment.collectStarts()).starts.length;
    console.log(
        `killed the entry in ${deployment.entries[0]?.availabilityZone ?? ""} while ${jobsDuringKill} jobs ran`,
    );
    await runJobsWhileEntryIsKilled(client);
    const starts = await deployment.collectStarts();
    for (
        const line of [
            ...describeAnswers("issued ids", client),
            ...describeAnswers("caller's keys", keyed),
            ...describePlaces(starts),
            ...describeStarts(starts),
            `messages at the entries before the kill: ${messages.join(" and ")}, for ${tasks} tasks`,
            resubmission,
            ...describeTimes([...client.jobs, ...keyed.jobs]),
        ]
    ) {
        console.log(line);
    }
    const violations = checkDemo(starts, [client, keyed]);
    console.log(`violations: ${violations.length}`);
    for (const violation of violations) {
        console.log(`  ${violation.rule}: ${violation.message}`);
    }
    await Promise.all([client.close(), keyed.close()]);
    return violations.length === 0 && !resubmission.includes("DIFFERENT") ? 0 : 1;
}

try {
    process.exitCode = await runDemo();
}
finally {
    await deployment.stop();
}
