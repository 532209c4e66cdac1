/**
 * The action of `lovagepitch report`: outcomes of direct jobs by second and route, from the logs of all processes.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import { formatTable } from "../formatTable.js";
import { JobReport, type OutcomeCounts, type SecondReport } from "../report/jobReport.js";
import { parseLogLine } from "../report/parseLogLine.js";

/** Lines of the logs that were read. */
interface LineCounts {
    readonly read: number;
    /** Lines that are not log lines of this project, or that were cut off. */
    readonly unreadable: number;
}

const tableHeader = ["second", "route", "arrived", "in time", "late", "unplaced", "with room", "wait ms", "others"];

/**
 * Prints the outcomes of jobs.
 *
 * @param environment - access to files and the terminal
 * @param files - log files; `-` reads standard input
 * @param options - `json` prints one JSON document instead of a table
 * @returns nothing, or a failure when a file cannot be read or no job was answered in the logs
 */
export async function reportJobs(
    environment: CommandEnvironment,
    files: readonly string[],
    options: { readonly json: boolean },
): Promise<Result<void, CommandFailure>> {
    const report = new JobReport();
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
    if (seconds.every(({ routes }) => Object.keys(routes).length === 0)) {
        const message =
            `no job was answered in ${read} lines, of which ${unreadable} are not log lines; pass the logs of `
            + "the entries";
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    print(environment, seconds, { read, unreadable }, report.linesLeftOut, options.json);
    return Ok(undefined);
}

function print(
    environment: CommandEnvironment,
    seconds: readonly SecondReport[],
    lines: LineCounts,
    linesLeftOut: number,
    isJson: boolean,
): void {
    if (isJson) {
        environment.writeLine(JSON.stringify({ seconds, lines, linesLeftOut }));
        return;
    }
    const rows = seconds.flatMap(({ second, routes, events }) => [
        ...Object.entries(routes).map(([route, counts]) => formatRow(String(second), route, counts)),
        ...Object.entries(events).map(([event, count]) => [String(second), `${event} (${count})`]),
    ]);
    const columnCount = tableHeader.length;
    const padded = rows.map(row => [...row, ...Array.from({ length: columnCount - row.length }, () => "")]);
    formatTable([tableHeader, ...padded]).forEach(line => environment.writeLine(line));
    environment.writeLine(`${lines.read} lines read, ${lines.unreadable} of them are not log lines`);
    if (linesLeftOut > 0) {
        environment.writeLine(`${linesLeftOut} lines were left out by the processes; jobs may be missing above`);
    }
}

function formatRow(second: string, route: string, counts: OutcomeCounts): readonly string[] {
    const placed = counts.startedInTime + counts.startedLate;
    return [
        second,
        route,
        String(counts.arrived),
        String(counts.startedInTime),
        String(counts.startedLate),
        String(counts.doneWithoutPlacement),
        String(counts.refusedWithRoom),
        placed === 0 ? "-" : (counts.waitMilliseconds / placed).toFixed(1),
        Object.entries(counts.others).map(([name, count]) => `${name} ${count}`).join(", "),
    ];
}
