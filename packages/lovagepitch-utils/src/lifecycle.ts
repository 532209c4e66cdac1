/**
 * Legal transitions of an entity, from a robot3 machine.
 */
import { interpret, type Machine } from "robot3";

/** An event that the entity's current state does not allow. */
export class IllegalTransitionError extends Error {
    /**
     * @param lifecycle - name of the lifecycle
     * @param state - state the entity is in
     * @param event - event that came
     */
    public constructor(lifecycle: string, state: string, event: string) {
        super(`${lifecycle}: "${event}" is not allowed in state "${state}"; report this as a defect`);
        this.name = "IllegalTransitionError";
    }
}

/** Looks up transitions without an interpreter per entity, so that a table row needs only its state's name. */
export class Lifecycle<State extends string, Event extends string> {
    private readonly transitions = new Map<string, State>();

    /**
     * @param name - name for error messages
     * @param states - every state
     * @param events - every event
     * @param createMachineAt - makes the robot3 machine with the given initial state
     */
    public constructor(
        private readonly name: string,
        states: readonly State[],
        events: readonly Event[],
        createMachineAt: (initial: State) => Machine,
    ) {
        for (const state of states) {
            for (const event of events) {
                this.recordTransition(createMachineAt(state), state, event);
            }
        }
    }

    /**
     * Tells whether an event is legal.
     *
     * @param state - state the entity is in
     * @param event - event that came
     * @returns true when the state allows the event
     */
    public allows(state: State, event: Event): boolean {
        return this.transitions.has(`${state}:${event}`);
    }

    /**
     * Follows a transition.
     *
     * @param state - state the entity is in
     * @param event - event that came
     * @returns the next state
     * @throws IllegalTransitionError when the state does not allow the event
     */
    public next(state: State, event: Event): State {
        const target = this.transitions.get(`${state}:${event}`);
        if (target === undefined) {
            throw new IllegalTransitionError(this.name, state, event);
        }
        return target;
    }

    private recordTransition(machine: Machine, state: State, event: Event): void {
        let changed = false;
        const service = interpret(machine, () => {
            changed = true;
        });
        service.send({ type: event } as never);
        if (changed) {
            this.transitions.set(`${state}:${event}`, service.machine.current as State);
        }
    }
}
