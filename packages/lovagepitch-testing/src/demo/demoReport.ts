/**
 * Report of a demo run as lines of text.
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
 * Describes the results of the callers' jobs and the messages that they needed.
 *
 * @param name - how the callers identify their jobs
 * @param client - client that ran the jobs
 * @returns lines of the report
 */
export function describeAnswers(name: string, client: RecordedClient): readonly string[] {
    const { issues, submissions, resubmissions } = client.messages;
    const messages = `${submissions} submissions, ${resubmissions} resubmissions, ${issues} requests for ids`;
    return [`${name}: ${countBy(client.jobs, job => job.result.kind)}; client messages: ${messages}`];
}

/**
 * Describes the distribution of the tasks over availability zones and workers.
 *
 * @param starts - task starts recorded by the backend servers
 * @returns lines of the report
 */
export function describePlaces(starts: StartRecord): readonly string[] {
    return [
        `tasks by availability zone: ${countBy(starts.starts, start => start.availabilityZone)}`,
        `tasks by worker: ${countBy(starts.starts, start => start.worker)}`,
    ];
}

/**
 * Describes how often tasks started.
 *
 * @param starts - task starts recorded by the backend servers
 * @returns lines of the report
 */
export function describeStarts(starts: StartRecord): readonly string[] {
    const perTask = new Map<string, number>();
    for (const { submission, index } of starts.starts) {
        const task = `${submission}#${index}`;
        perTask.set(task, (perTask.get(task) ?? 0) + 1);
    }
    const most = Math.max(0, ...perTask.values());
    return [`starts: ${starts.starts.length} of ${perTask.size} tasks; maximum starts per task: ${most}`];
}

/**
 * Describes the response times in excess of the longest task of each job.
 *
 * @param jobs - finished jobs
 * @returns lines of the report
 */
export function describeTimes(jobs: readonly RecordedJob[]): readonly string[] {
    const over = jobs.flatMap(job => job.overheadMilliseconds ?? []).sort((left, right) => left - right);
    if (over.length === 0) {
        return ["response time beyond the longest task: no job was completed"];
    }
    const at = (share: number): number => over[Math.min(over.length - 1, Math.floor(share * over.length))] ?? 0;
    return [
        `response time beyond the longest task: median ${at(0.5)} ms, 90th percentile ${at(0.9)} ms, maximum ${
            at(1)
        } ms`,
    ];
}
