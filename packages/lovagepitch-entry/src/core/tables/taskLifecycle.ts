/**
 * Legal transitions of a task at its keeper.
 */
import { Lifecycle } from "@lovagepitch/utils/lifecycle";
import { createMachine, state, transition } from "robot3";
import type { TaskState } from "./taskRow.js";

/** Events of a task. */
export type TaskEvent = "send" | "refuse" | "standBy" | "run" | "succeed" | "fail" | "lose";

const taskStates: readonly TaskState[] = ["waiting", "sent", "standing-by", "running", "succeeded", "failed", "lost"];
const taskEvents: readonly TaskEvent[] = ["send", "refuse", "standBy", "run", "succeed", "fail", "lose"];

/** The task's lifecycle: only an agent's refusal makes a task that was sent free again. */
export const taskLifecycle = new Lifecycle<TaskState, TaskEvent>(
    "task",
    taskStates,
    taskEvents,
    initial =>
        createMachine(initial, {
            "waiting": state(transition("send", "sent")),
            "sent": state(
                transition("send", "sent"),
                transition("refuse", "waiting"),
                transition("standBy", "standing-by"),
                transition("run", "running"),
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                transition("lose", "lost"),
            ),
            "standing-by": state(
                transition("refuse", "waiting"),
                transition("standBy", "standing-by"),
                transition("run", "running"),
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                transition("lose", "lost"),
            ),
            "running": state(
                // The backend server was found to refuse connections: the task did not reach it.
                transition("refuse", "waiting"),
                transition("run", "running"),
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                transition("lose", "lost"),
            ),
            "succeeded": state(),
            "failed": state(),
            "lost": state(),
        }),
);
