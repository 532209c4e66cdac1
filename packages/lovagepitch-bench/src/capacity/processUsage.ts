/**
 * Processor time and memory of another process, as the kernel counts them.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";

/** Unit of the kernel's processor times on Linux, per second. */
const clockTicksPerSecond = 100;
const bytesPerKibibyte = 1024;
const nanosecondsPerSecond = 1e9;
/** Fields of `/proc/PID/stat` after the command's name: user and system time. */
const userTimeField = 11;
const systemTimeField = 12;

/** What a process has used so far. */
export interface ProcessUsage {
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

/**
 * Reads what a process has used.
 *
 * @param processId - the process
 * @returns its processor time and its resident memory
 */
export function readProcessUsage(processId: number): ProcessUsage {
    return {
        processorSeconds: readProcessorSeconds(processId),
        residentBytes: readStatus(processId, "VmRSS"),
    };
}

/**
 * Reads the part of a process's memory that comes from no file, and so is not shared with other processes.
 *
 * @param processId - the process
 * @returns bytes
 */
export function readPrivateBytes(processId: number): number {
    return readStatus(processId, "RssAnon");
}

/** Adds up the threads' run times where the kernel gives them, because they are finer than its clock ticks. */
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

function readStatus(processId: number, name: string): number {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const match = new RegExp(`^${name}:\\s+(\\d+) kB$`, "m").exec(status);
    return Number(match?.[1] ?? 0) * bytesPerKibibyte;
}
