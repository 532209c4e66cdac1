/**
 * Readable lines about a run of real processes.
 */
import type { StartRecord } from "../checker/startRecord.js";
import type { RecordedClient, RecordedJob } from "../launcher/recordedClient.js";

function countBy<Item>(items: readonly Item[], name: (item: Item) => string): string {
    const counts = new Map<string, number>();
    for (const item of items) {
        counts.set(name(item), (counts.get(name(item)) ?? 0) + 1);
    }
    return [...counts].sort(([left], [right]) => left < right ? -1 : 1).map(([key, count]) => `${count} ${key}`)
        .join(", ");
}

/**
 * Describes what callers were told, and the messages that it took.
 *
 * @param name - name of the callers
 * @param client - the callers
 * @returns lines
 */
export function describeAnswers(name: string, client: RecordedClient): readonly string[] {
    const { issues, submissions, resubmissions } = client.messages;
    const messages = `${submissions} submissions, ${resubmissions} resubmissions, ${issues} requests for ids`;
    return [`${name}: ${countBy(client.jobs, job => job.result.kind)}; client messages: ${messages}`];
}

/**
 * Describes where tasks ran.
 *
 * @param starts - starts at the backend servers
 * @returns lines
 */
export function describePlaces(starts: StartRecord): readonly string[] {
    return [
        `tasks by availability zone: ${countBy(starts.starts, start => start.availabilityZone)}`,
        `tasks by worker: ${countBy(starts.starts, start => start.worker)}`,
    ];
}

/**
 * Describes how often each task started.
 *
 * @param starts - starts at the backend servers
 * @returns lines
 */
export function describeStarts(starts: StartRecord): readonly string[] {
    const perTask = new Map<string, number>();
    for (const { submission, index } of starts.starts) {
        const task = `${submission}#${index}`;
        perTask.set(task, (perTask.get(task) ?? 0) + 1);
    }
    const most = Math.max(0, ...perTask.values());
    return [`starts: ${starts.starts.length} of ${perTask.size} tasks; most starts of one task: ${most}`];
}

/**
 * Describes response times against the longest task of each job.
 *
 * @param jobs - finished jobs
 * @returns lines
 */
export function describeTimes(jobs: readonly RecordedJob[]): readonly string[] {
    const over = jobs.flatMap(job => job.overheadMilliseconds ?? []).sort((left, right) => left - right);
    if (over.length === 0) {
        return ["response over the longest task: no job was completed"];
    }
    const at = (share: number): number => over[Math.min(over.length - 1, Math.floor(share * over.length))] ?? 0;
    return [`response over the longest task: median ${at(0.5)} ms, 90 % ${at(0.9)} ms, most ${at(1)} ms`];
}
