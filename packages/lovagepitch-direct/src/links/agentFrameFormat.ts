/**
 * Binary format of the frames from an agent to an entry.
 */
import type { AgentFrame, EndedRun } from "../model/frames.js";
import type { Resources } from "../model/resources.js";
import type { ReportInstant, WorkerStatus } from "../model/workerStatus.js";
import { ConstantField } from "./constantField.js";
import { addOthers, collectOthers, expectArray, FrameFormat } from "./frameFormat.js";

const knownFields: ReadonlySet<string> = new Set<keyof AgentFrame>([
    "agent",
    "instance",
    "availabilityZone",
    "sentAt",
    "includedSequence",
    "includedForMilliseconds",
    "worker",
    "ended",
    "configuration",
]);

/** Fields whose default at the receiver is an empty array. */
const omittedWhenEmpty: ReadonlySet<string> = new Set<keyof AgentFrame>(["crashes"]);

const knownWorkerFields: ReadonlySet<string> = new Set<keyof WorkerStatus>([
    "service",
    "labels",
    "capacity",
    "free",
    "awaited",
    "acceptsTasks",
    "isOnTrial",
    "latestReport",
]);

const knownEndFields: ReadonlySet<string> = new Set<keyof EndedRun>([
    "job",
    "task",
    "run",
    "submission",
    "end",
    "ranMilliseconds",
]);

const knownNotice: ReadonlySet<string> = new Set(["version"]);

const omittedNotice: ReadonlySet<string> = new Set(["isRequested"]);

/** Names of resources, in their order on the wire. */
const resourceNames: readonly (keyof Resources)[] = ["milliCores", "memoryMegabytes", "accelerators"];

const knownResources: ReadonlySet<string> = new Set(resourceNames);

/** Fields that one process of an agent keeps, and those of its worker that one incarnation of the worker keeps. */
interface ConstantFields {
    readonly identity: ConstantField;
    readonly worker: ConstantField;
    readonly report: ConstantField;
}

/** Format of the frames from agents. */
export class AgentFrameFormat extends FrameFormat<AgentFrame> {
    private readonly constants: ConstantFields = {
        identity: new ConstantField(),
        worker: new ConstantField(),
        report: new ConstantField(),
    };

    /** {@inheritDoc FrameFormat.toWire} */
    public override toWire(frame: AgentFrame): unknown {
        return [
            this.constants.identity.toWire([frame.agent, frame.instance, frame.availabilityZone]),
            frame.sentAt,
            frame.includedSequence,
            frame.includedForMilliseconds ?? false,
            frame.configuration.version,
            frame.worker === undefined ? 0 : this.listWorkerFields(frame.worker),
            frame.ended.map(listEndFields),
            collectOthers(frame, knownFields, omittedWhenEmpty),
            collectOthers(frame.configuration, knownNotice, omittedNotice),
        ];
    }

    /** {@inheritDoc FrameFormat.fromWire} */
    public override fromWire(value: unknown): unknown {
        const [identity, sentAt, includedSequence, includedFor, version, worker, ended, others, noticeOthers] =
            expectArray(value);
        const [agent, instance, availabilityZone] = expectArray(this.constants.identity.fromWire(identity));
        const frame = {
            agent,
            instance,
            availabilityZone,
            sentAt,
            includedSequence,
            ...(includedFor === false ? {} : { includedForMilliseconds: includedFor }),
            worker: worker === 0 ? undefined : this.readWorkerFields(expectArray(worker)),
            ended: expectArray(ended).map(readEndFields),
            openRuns: undefined,
            configuration: addOthers({ version, configuration: undefined, isRequested: false }, noticeOthers),
            crashes: [],
        };
        return addOthers(frame, others);
    }

    private listWorkerFields(worker: WorkerStatus): unknown {
        return [
            this.constants.worker.toWire([worker.service, worker.labels, listResources(worker.capacity)]),
            listResources(worker.free),
            listResources(worker.awaited),
            worker.acceptsTasks,
            worker.isOnTrial,
            this.constants.report.toWire(listReportFields(worker.latestReport)),
            collectOthers(worker, knownWorkerFields),
        ];
    }

    private readWorkerFields(fields: readonly unknown[]): unknown {
        const [constants, free, awaited, acceptsTasks, isOnTrial, report, others] = fields;
        const [service, labels, capacity] = expectArray(this.constants.worker.fromWire(constants));
        const status = {
            service,
            labels,
            capacity: readResources(capacity),
            free: readResources(free),
            awaited: readResources(awaited),
            acceptsTasks,
            isOnTrial,
            ...readReportFields(expectArray(this.constants.report.fromWire(report))),
        };
        return addOthers(status, others);
    }
}

/** Lists the fields of a report in an array, which is empty without a report. */
function listReportFields(report: ReportInstant | undefined): readonly unknown[] {
    return report === undefined ? [] : [report.worker, report.workerClock, report.startedAt ?? false];
}

function readReportFields(fields: readonly unknown[]): { readonly latestReport?: unknown } {
    if (fields.length === 0) {
        return {};
    }
    const [worker, workerClock, startedAt] = fields;
    return { latestReport: { worker, workerClock, ...startedAt === false ? {} : { startedAt } } };
}

function listResources(resources: Resources): unknown {
    const { milliCores, memoryMegabytes, accelerators } = resources;
    const others = collectOthers(resources, knownResources);
    const amounts = [milliCores, memoryMegabytes, accelerators];
    return others === 0 ? amounts : [...amounts, others];
}

function readResources(value: unknown): unknown {
    const [milliCores, memoryMegabytes, accelerators, others] = expectArray(value);
    return addOthers({ milliCores, memoryMegabytes, accelerators }, others);
}

function listEndFields(ended: EndedRun): unknown {
    const fields = [ended.job, ended.task, ended.run, ended.end, ended.ranMilliseconds];
    const others = collectOthers(ended, knownEndFields);
    // Earlier versions read only the other fields here, and ignore a number.
    const submission = ended.submission === undefined ? [] : [ended.submission];
    return others === 0 ? [...fields, ...submission] : [...fields, ...submission, others];
}

function readEndFields(value: unknown): unknown {
    const [job, task, run, end, ranMilliseconds, sixth, seventh] = expectArray(value);
    const fields = { job, task, run, end, ranMilliseconds };
    return typeof sixth === "number"
        ? addOthers({ ...fields, submission: sixth }, seventh)
        : addOthers(fields, sixth);
}
