/**
 * The action of `lovagepitch report`: outcomes of direct jobs by second and group, from the logs of all processes.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import { formatTable } from "../formatTable.js";
import {
    type GroupTimes,
    JobReport,
    type OutcomeCounts,
    type ReportGroup,
    type SecondReport,
} from "../report/jobReport.js";
import { parseLogLine } from "../report/parseLogLine.js";

/** Lines of the logs that were read. */
interface LineCounts {
    readonly read: number;
    /** Lines that are not log lines of this project, or that were cut off. */
    readonly unreadable: number;
}

/** Options of the command. */
export interface ReportOptions {
    /** Prints one JSON document instead of tables. */
    readonly json: boolean;
    readonly by: ReportGroup;
}

const outcomeColumns = ["arrived", "in time", "late", "unplaced", "with room", "wait ms", "others"];

const timeColumns = ["done", "median ms", "p99 ms", "refused", "median ms", "p99 ms", "lost run ms"];

/**
 * Prints the outcomes of jobs.
 *
 * @param environment - access to files and the terminal
 * @param files - log files; `-` reads standard input
 * @param options - form of the output, and the property by which jobs are counted
 * @returns nothing, or a failure when a file cannot be read or no job was answered in the logs
 */
export async function reportJobs(
    environment: CommandEnvironment,
    files: readonly string[],
    options: ReportOptions,
): Promise<Result<void, CommandFailure>> {
    const report = new JobReport(options.by);
    let read = 0;
    let unreadable = 0;
    for (const file of files) {
        const result = await environment.readLines(file, line => {
            const parsed = parseLogLine(line);
            read += 1;
            unreadable += parsed === undefined ? 1 : 0;
            if (parsed !== undefined) {
                report.add(parsed.timeMilliseconds, parsed.fields);
            }
        });
        if (result.err) {
            return Err(result.val);
        }
    }
    const seconds = report.listSeconds();
    if (seconds.every(({ groups }) => Object.keys(groups).length === 0)) {
        const message =
            `no job was answered in ${read} lines, of which ${unreadable} are not log lines; pass the logs of `
            + "the entries";
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    print(environment, report, seconds, { read, unreadable }, options);
    return Ok(undefined);
}

function print(
    environment: CommandEnvironment,
    report: JobReport,
    seconds: readonly SecondReport[],
    lines: LineCounts,
    { json, by }: ReportOptions,
): void {
    const { linesLeftOut } = report;
    const times = report.listTimes();
    if (json) {
        environment.writeLine(JSON.stringify({ seconds, times, lines, linesLeftOut }));
        return;
    }
    const header = ["second", by, ...outcomeColumns];
    const rows = seconds.flatMap(({ second, groups, events }) => [
        ...Object.entries(groups).map(([group, counts]) => formatRow(String(second), group, counts)),
        ...Object.entries(events).map(([event, count]) => [String(second), `${event} (${count})`]),
    ]);
    const padded = rows.map(row => [...row, ...Array.from({ length: header.length - row.length }, () => "")]);
    formatTable([header, ...padded]).forEach(line => environment.writeLine(line));
    formatTable([[by, ...timeColumns], ...times.map(formatTimes)]).forEach(line => environment.writeLine(line));
    environment.writeLine(`${lines.read} lines read, ${lines.unreadable} of them are not log lines`);
    if (linesLeftOut > 0) {
        environment.writeLine(`${linesLeftOut} lines were left out by the processes; jobs may be missing above`);
    }
}

function formatTimes({ group, done, refused, lostRunMilliseconds }: GroupTimes): readonly string[] {
    const quantiles = [done, refused].flatMap(summary => [
        String(summary.count),
        String(summary.medianMilliseconds),
        String(summary.percentile99Milliseconds),
    ]);
    const lost = Object.entries(lostRunMilliseconds).map(([end, milliseconds]) => `${end} ${Math.round(milliseconds)}`);
    return [group, ...quantiles, lost.join(", ")];
}

function formatRow(second: string, group: string, counts: OutcomeCounts): readonly string[] {
    const placed = counts.startedInTime + counts.startedLate;
    return [
        second,
        group,
        String(counts.arrived),
        String(counts.startedInTime),
        String(counts.startedLate),
        String(counts.doneWithoutPlacement),
        String(counts.refusedWithRoom),
        placed === 0 ? "-" : (counts.waitMilliseconds / placed).toFixed(1),
        Object.entries(counts.others).map(([name, count]) => `${name} ${count}`).join(", "),
    ];
}
