/**
 * Binary format of the messages between entries that pass submissions on: submissions and answers, of which a frame may hold many, have
 * their fields by position.
 */
import type { DirectJob } from "../model/directJob.js";
import type { ForwardedAnswer, ForwardedSubmission, ForwardingFrame, ForwardingReply } from "../model/forwarding.js";
import { expectArray, FrameFormat } from "./frameFormat.js";

/** Value on the wire of a field that is undefined. */
const missing = 0;

/** Format of the frames with submissions. */
export class ForwardingFrameFormat extends FrameFormat<ForwardingFrame> {
    /** {@inheritDoc FrameFormat.toWire} */
    public override toWire(frame: ForwardingFrame): unknown {
        const { newestSentAt, ...others } = frame;
        return {
            ...others,
            ...newestSentAt === undefined ? {} : { newestSentAt },
            submissions: frame.submissions.map(packSubmission),
        };
    }

    /** {@inheritDoc FrameFormat.fromWire} */
    public override fromWire(value: unknown): unknown {
        const frame = value as { readonly submissions: unknown };
        return { ...frame, submissions: expectArray(frame.submissions).map(unpackSubmission) };
    }
}

/** Format of the replies. */
export class ForwardingReplyFormat extends FrameFormat<ForwardingReply> {
    /** {@inheritDoc FrameFormat.toWire} */
    public override toWire(reply: ForwardingReply): unknown {
        return { ...reply, answers: reply.answers.map(packAnswer) };
    }

    /** {@inheritDoc FrameFormat.fromWire} */
    public override fromWire(value: unknown): unknown {
        const reply = value as { readonly answers: unknown };
        return { ...reply, answers: expectArray(reply.answers).map(unpackAnswer) };
    }
}

function packSubmission({ number, ageMilliseconds, job }: ForwardedSubmission): unknown {
    const { needs } = job;
    return [
        number,
        ageMilliseconds,
        job.id,
        job.route,
        job.service,
        job.priority,
        job.specification,
        job.taskCount,
        needs.milliCores,
        needs.memoryMegabytes,
        needs.accelerators,
        job.estimatedMilliseconds,
        job.requiredLabel ?? missing,
        job.maximumPerWorker,
        job.stretch,
        job.allowanceMilliseconds,
        job.maximumAttempts,
        job.callerWaitMilliseconds,
    ];
}

function unpackSubmission(value: unknown): unknown {
    const [
        number,
        ageMilliseconds,
        id,
        route,
        service,
        priority,
        specification,
        taskCount,
        milliCores,
        memoryMegabytes,
        accelerators,
        estimatedMilliseconds,
        requiredLabel,
        maximumPerWorker,
        stretch,
        allowanceMilliseconds,
        maximumAttempts,
        callerWaitMilliseconds,
    ] = expectArray(value);
    const job: Readonly<Record<keyof DirectJob, unknown>> = {
        id,
        route,
        service,
        priority,
        specification,
        taskCount,
        needs: { milliCores, memoryMegabytes, accelerators },
        estimatedMilliseconds,
        requiredLabel: requiredLabel === missing ? undefined : requiredLabel,
        maximumPerWorker,
        stretch,
        allowanceMilliseconds,
        maximumAttempts,
        callerWaitMilliseconds,
    };
    return { number, ageMilliseconds, job };
}

function packAnswer({ number, job, answer }: ForwardedAnswer): unknown {
    return [number, job, answer ?? missing];
}

function unpackAnswer(value: unknown): unknown {
    const [number, job, answer] = expectArray(value);
    return { number, job, answer: answer === missing ? undefined : answer };
}
