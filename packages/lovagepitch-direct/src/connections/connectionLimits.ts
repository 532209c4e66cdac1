/**
 * Division of a process's memory and descriptors among its listeners.
 */

const bytesPerMegabyte = 1024 * 1024;

/** Descriptors that are kept for files. */
const fileDescriptors = 200;

/** Smallest number of connections that a listener accepts. */
const minimumConnections = 4;

/** Memory of a process beside its connections: the program, its own data, and buffers that are not collected yet. */
const processMegabytes = 112;

/** Smallest memory that the connections of a listener may hold, in megabytes; reports and frames may be of 4 MB. */
const minimumHeldMegabytes = { requests: 8, peers: 8, operations: 1 };

/** Parts of the descriptors for sockets; the rest is for connections that the process opens itself. */
const descriptorParts = { requests: 0.5, peers: 0.4, operations: 0.03 };

/** Parts of the memory for connections. */
const memoryParts = { requests: 1 / 2, peers: 1 / 8, operations: 1 / 32 };

/** Part of the heap that connections may hold, as requests and headers are kept there. */
const maximumHeapPart = 1 / 2;

/** Resources of one process. */
export interface ProcessResources {
    readonly memoryMegabytes: number;
    readonly maximumDescriptors: number;
    /** Largest size of the heap, in bytes. */
    readonly heapBytes: number;
}

/** What the connections of one listener may use together. */
export interface ConnectionLimits {
    readonly maximumConnections: number;
    /** Bytes of memory; a connection counts with an upper estimate of what it holds. */
    readonly maximumHeldBytes: number;
}

/** Kind of listener: for callers or reports, for the system's other processes, or for metrics and readiness checks. */
export type ListenerKind = keyof typeof memoryParts;

/** Resources of a process whose settings do not name them. */
export const defaultResources: ProcessResources = {
    memoryMegabytes: 256,
    maximumDescriptors: 1024,
    heapBytes: 128 * bytesPerMegabyte,
};

/**
 * Finds the limits of a listener.
 *
 * @param resources - resources of the process
 * @param kind - kind of the listener
 * @returns limits that leave room for the other listeners and for what is not connections
 */
export function findConnectionLimits(resources: ProcessResources, kind: ListenerKind): ConnectionLimits {
    const sockets = resources.maximumDescriptors - fileDescriptors;
    const memoryBytes = (resources.memoryMegabytes - processMegabytes) * bytesPerMegabyte;
    const heldBytes = Math.min(memoryBytes * memoryParts[kind], resources.heapBytes * maximumHeapPart);
    return {
        maximumConnections: Math.max(minimumConnections, Math.floor(sockets * descriptorParts[kind])),
        maximumHeldBytes: Math.max(minimumHeldMegabytes[kind] * bytesPerMegabyte, heldBytes),
    };
}
