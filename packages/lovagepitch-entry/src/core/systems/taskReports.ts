/**
 * Applies the task reports of agents.
 */
import type { PeerIdentity } from "@lovagepitch/types/identity";
import type { ReportTasks, TaskRefusal, TaskReport } from "@lovagepitch/types/peerMessage";
import type { EntryState } from "../entryState.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { type TaskEvent, taskLifecycle } from "../tables/taskLifecycle.js";
import type { TaskRow } from "../tables/taskRow.js";
import { completeSubmission, failSubmission, isHeldByAgent, markTaskLost } from "./finishing.js";
import { startTask } from "./placement.js";

/** How long no tasks are placed on an agent after it refused one for a temporary reason. */
const blockMillisecondsByRefusal: Readonly<Partial<Record<TaskRefusal, number>>> = {
    "configuration-behind": 50,
    "not-permitted": 250,
    "backend-unavailable": 500,
    "not-registered": 250,
    "leaving": 500,
};

/**
 * Applies the task reports of one message and acknowledges the outcomes.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the reporting agent
 * @param message - reports on tasks of one submission
 */
export function applyReports(state: EntryState, sender: PeerIdentity, message: ReportTasks): void {
    for (const report of message.reports) {
        if (report.report.state === "succeeded" || report.report.state === "failed") {
            state.queueAcknowledgement(sender.address, message.submission, report.index);
        }
        const live = state.submissions.get(message.submission);
        if (live?.state === "live") {
            applyReport(state, sender, live, report);
        }
    }
}

/**
 * Returns a task to the waiting queue when its agent certainly has not started it.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the agent that held the task
 * @param live - submission of the task
 * @param index - index of the task in its job
 */
export function releaseTask(state: EntryState, sender: PeerIdentity, live: LiveSubmission, index: number): void {
    const row = state.tasks.get(live.submission)?.[index];
    if (row === undefined || !taskLifecycle.allows(row.state, "refuse")) {
        return;
    }
    transitionTask(state, sender, live, index, row, "refuse");
    requeueTask(state, live, index);
}

function isHeldBy(row: TaskRow, sender: PeerIdentity): boolean {
    return isHeldByAgent(row) && row.agent === sender.address && row.agentIncarnation === sender.incarnation;
}

/**
 * Applies the report of one task; ignored when the sender does not hold the task.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the reporting agent
 * @param live - submission of the task
 * @param taskReport - index of the task and its reported state
 */
export function applyReport(
    state: EntryState,
    sender: PeerIdentity,
    live: LiveSubmission,
    { index, report }: TaskReport,
): void {
    const row = state.tasks.get(live.submission)?.[index];
    if (row === undefined || !isHeldBy(row, sender)) {
        return;
    }
    switch (report.state) {
        case "standing-by":
            transitionTask(state, sender, live, index, row, "queue");
            return;
        case "running":
            transitionTask(state, sender, live, index, row, "run");
            return;
        case "succeeded":
            transitionTask(state, sender, live, index, { ...row, output: report.output }, "succeed");
            recordTaskSuccess(state, live, row);
            return;
        case "failed":
            transitionTask(state, sender, live, index, row, "fail");
            failSubmission(state, live, `task ${index} failed: ${report.reason}`);
            return;
        case "refused":
            if (report.startSequence >= row.startSequence) {
                handleTaskRefusal(state, sender, live, index, row, report.refusal);
            }
            return;
        case "unknown":
            resendLostStart(state, sender, live, index, row);
            return;
        case "forgotten":
            markTaskLost(state, { submission: live.submission, index }, "its agent dropped the record of a task");
            return;
    }
}

function transitionTask(
    state: EntryState,
    sender: PeerIdentity,
    live: LiveSubmission,
    index: number,
    row: TaskRow,
    event: TaskEvent,
): void {
    const rows = state.tasks.get(live.submission)!;
    if (!taskLifecycle.allows(row.state, event)) {
        // The report is outdated: a later one has already been applied.
        return;
    }
    const next = { ...row, state: taskLifecycle.next(row.state, event) };
    rows[index] = next;
    if (row.state === "sent") {
        decrementUnacknowledgedTasks(state, sender);
    }
    if (!isHeldByAgent(next)) {
        state.outstandingTasks.get(sender.address)?.delete(`${live.submission} ${index}`);
        state.adjustStartedTasks(live.job.team, -1);
    }
}

function decrementUnacknowledgedTasks(state: EntryState, sender: PeerIdentity): void {
    const agent = state.agents.get(sender.address);
    if (agent !== undefined && agent.incarnation === sender.incarnation) {
        state.agents.update(sender.address, { unacknowledgedTasks: Math.max(0, agent.unacknowledgedTasks - 1) });
    }
}

function recordTaskSuccess(state: EntryState, live: LiveSubmission, row: TaskRow): void {
    const updated = { ...live, succeededTasks: live.succeededTasks + 1 };
    state.submissions.set(live.submission, updated);
    state.workClasses.get(live.workClass)?.runTime.observe(state.now - row.sentAtMilliseconds);
    if (updated.succeededTasks === live.job.tasks.length) {
        completeSubmission(state, updated);
    }
}

function handleTaskRefusal(
    state: EntryState,
    sender: PeerIdentity,
    live: LiveSubmission,
    index: number,
    row: TaskRow,
    refusal: TaskRefusal,
): void {
    transitionTask(state, sender, live, index, row, "refuse");
    state.counters.wastedMessages += 1;
    state.logDecision("declined", refusal, { submission: live.submission, task: index, worker: row.worker });
    if (refusal === "sealed") {
        failSubmission(state, live, "another entry has sealed the submission, taking this one for lost");
        return;
    }
    const blockMilliseconds = blockMillisecondsByRefusal[refusal];
    if (blockMilliseconds !== undefined) {
        state.agents.update(sender.address, { blockedUntilMilliseconds: state.now + blockMilliseconds });
        state.scheduleTimer(state.now + blockMilliseconds, "place", "");
    }
    requeueTask(state, live, index);
}

function requeueTask(state: EntryState, live: LiveSubmission, index: number): void {
    const workClass = state.workClasses.get(live.workClass);
    state.adjustWaitingTasks(live.job.team, 1);
    workClass?.queue.add({ ...live, team: live.job.team }, [index]);
}

/** Resends a start that has not arrived, only to the same agent, because the first message may still arrive there. */
function resendLostStart(
    state: EntryState,
    sender: PeerIdentity,
    live: LiveSubmission,
    index: number,
    row: TaskRow,
): void {
    const agent = state.agents.get(sender.address);
    if (row.state === "sent" && agent !== undefined) {
        state.counters.wastedMessages += 1;
        startTask(state, live, index, agent, "the agent has not received the start");
    }
}
