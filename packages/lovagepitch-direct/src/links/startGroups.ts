/**
 * Start orders on the wire: tasks of one job in one frame share all fields but the position of the task and the run.
 */
import type { StartOrder } from "../model/frames.js";
import { addOthers, collectOthers, expectArray, isEqual } from "./frameFormat.js";

const knownFields: ReadonlySet<string> = new Set<keyof StartOrder>([
    "job",
    "task",
    "run",
    "service",
    "specification",
    "needs",
    "estimatedMilliseconds",
    "mayWaitMilliseconds",
    "urgency",
    "maximumPerWorker",
    "requiredLabel",
]);

const knownUrgencyFields: ReadonlySet<string> = new Set<keyof StartOrder["urgency"]>([
    "priority",
    "isBegun",
    "spareMilliseconds",
]);

const knownNeeds: ReadonlySet<string> = new Set<keyof StartOrder["needs"]>([
    "milliCores",
    "memoryMegabytes",
    "accelerators",
]);

/** Number of positions before the tasks of a group. */
const commonPositions = 14;

/**
 * Groups start orders by job; an order whose other fields differ from those of its predecessor begins a new group.
 *
 * @param starts - orders of one frame
 * @returns the groups to be packed
 */
export function groupStarts(starts: readonly StartOrder[]): unknown[] {
    const groups: unknown[] = [];
    let first: StartOrder | undefined;
    let group: unknown[] = [];
    for (const order of starts) {
        if (first === undefined || !haveSameFields(first, order)) {
            first = order;
            group = listCommonFields(order);
            groups.push(group);
        }
        group.push(order.task, order.run);
    }
    return groups;
}

function haveSameFields(left: StartOrder, right: StartOrder): boolean {
    if (left.job !== right.job) {
        return false;
    }
    const names = Object.keys(left) as (keyof StartOrder)[];
    return names.length === Object.keys(right).length && names.every(name => {
        return name === "task" || name === "run" || isEqual(left[name], right[name]);
    });
}

function listCommonFields(order: StartOrder): unknown[] {
    const { needs, urgency, requiredLabel } = order;
    const orderOthers = collectOthers(order, knownFields);
    const urgencyOthers = collectOthers(urgency, knownUrgencyFields);
    const needsOthers = collectOthers(needs, knownNeeds);
    const hasOthers = orderOthers !== 0 || urgencyOthers !== 0 || needsOthers !== 0;
    return [
        order.job,
        order.service,
        order.specification,
        needs.milliCores,
        needs.memoryMegabytes,
        needs.accelerators,
        order.estimatedMilliseconds,
        order.mayWaitMilliseconds,
        urgency.priority,
        urgency.isBegun,
        urgency.spareMilliseconds,
        order.maximumPerWorker === Number.MAX_SAFE_INTEGER ? 0 : order.maximumPerWorker,
        requiredLabel ?? 0,
        hasOthers ? [orderOthers, urgencyOthers, needsOthers] : 0,
    ];
}

/**
 * Restores start orders.
 *
 * @param value - received groups
 * @returns values with the fields of start orders, whose types have not been checked
 * @throws TypeError when the value has another structure
 */
export function ungroupStarts(value: unknown): unknown[] {
    const starts: unknown[] = [];
    for (const item of expectArray(value)) {
        const group = expectArray(item);
        const createStart = readCommonFields(group);
        for (let index = commonPositions; index < group.length; index += 2) {
            starts.push(createStart(group[index], group[index + 1]));
        }
    }
    return starts;
}

function readCommonFields(group: readonly unknown[]): (task: unknown, run: unknown) => unknown {
    const [orderOthers, urgencyOthers, needsOthers] = group[13] === 0 ? [] : expectArray(group[13]);
    const needs = addOthers({ milliCores: group[3], memoryMegabytes: group[4], accelerators: group[5] }, needsOthers);
    const urgency = addOthers({ priority: group[8], isBegun: group[9], spareMilliseconds: group[10] }, urgencyOthers);
    const maximumPerWorker = group[11] === 0 ? Number.MAX_SAFE_INTEGER : group[11];
    const requiredLabel = group[12] === 0 ? undefined : group[12];
    return (task, run) =>
        addOthers({
            job: group[0],
            task,
            run,
            service: group[1],
            specification: group[2],
            needs,
            estimatedMilliseconds: group[6],
            mayWaitMilliseconds: group[7],
            urgency,
            maximumPerWorker,
            requiredLabel,
        }, orderOthers);
}
