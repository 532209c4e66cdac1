/**
 * Reads processor time and memory of a process from the Linux `/proc` file system.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";

/** Clock ticks per second, the unit of processor times in `/proc/PID/stat`. */
const clockTicksPerSecond = 100;
const bytesPerKibibyte = 1024;
const nanosecondsPerSecond = 1e9;
/** Indexes of user and system time in `/proc/PID/stat`, counted after the command's name. */
const userTimeField = 11;
const systemTimeField = 12;

/** Processor time since the start of a process, and its current memory. */
export interface ProcessUsage {
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

/**
 * Reads the processor time and memory of a process.
 *
 * @param processId - id of the process
 * @returns processor time since the process started, and resident memory
 */
export function readProcessUsage(processId: number): ProcessUsage {
    return {
        processorSeconds: readProcessorSeconds(processId),
        residentBytes: readStatusBytes(processId, "VmRSS"),
    };
}

/**
 * Reads the anonymous memory of a process, which is not backed by files and so not shared with other processes.
 *
 * @param processId - id of the process
 * @returns anonymous resident memory in bytes
 */
export function readPrivateBytes(processId: number): number {
    return readStatusBytes(processId, "RssAnon");
}

/** Sums up the run times of the threads if the kernel provides them, because they are finer than clock ticks. */
function readProcessorSeconds(processId: number): number {
    const nanoseconds = readThreadNanoseconds(processId);
    if (nanoseconds > 0) {
        return nanoseconds / nanosecondsPerSecond;
    }
    const stat = readFileSync(`/proc/${processId}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
    return ticks / clockTicksPerSecond;
}

function readThreadNanoseconds(processId: number): number {
    let sum = 0;
    for (const thread of readdirSync(`/proc/${processId}/task`)) {
        const path = `/proc/${processId}/task/${thread}/schedstat`;
        if (existsSync(path)) {
            sum += Number(readFileSync(path, "utf8").split(" ")[0]);
        }
    }
    return sum;
}

function readStatusBytes(processId: number, name: string): number {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const match = new RegExp(`^${name}:\\s+(\\d+) kB$`, "m").exec(status);
    return Number(match?.[1] ?? 0) * bytesPerKibibyte;
}
