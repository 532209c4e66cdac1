/**
 * Policy that passes a fixed part of the new jobs on, whatever the load.
 */
import { JobForwarding } from "../policies/jobForwarding.js";

/** Passes jobs on and takes those of others at any load. */
export class FixedForwarding extends JobForwarding {
    /** {@inheritDoc JobForwarding.needsConnections} */
    public override readonly needsConnections = true;

    /** {@inheritDoc JobForwarding.acceptsJobs} */
    public override acceptsJobs = true;

    /** {@inheritDoc JobForwarding.isShort} */
    public override isShort = false;

    /**
     * @param share - part of the new jobs that is passed on, from 0 to 1
     */
    public constructor(public override share: number) {
        super();
    }

    /** {@inheritDoc JobForwarding.recordLoad} */
    public override recordLoad(): void {
        // The share is fixed.
    }

    /** {@inheritDoc JobForwarding.weigh} */
    public override weigh(): number {
        return 1;
    }
}
