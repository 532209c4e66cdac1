/**
 * Load pattern: more jobs wait than can start in time. A job that will not be served is refused as soon as that can be
 * told, so that its caller can go elsewhere, instead of at its latest start.
 */

/** Inputs to the decision whether a waiting job can still be served. */
export interface AdmissionConditions {
    /** Room that waiting tasks of preceding jobs of its service need, in thousandths of a core. */
    readonly roomAhead: number;
    /** Room that the job's own waiting tasks need, in thousandths of a core. */
    readonly ownRoom: number;
    /** Room that the entry gets while jobs wait, in thousandths of a core per millisecond; undefined if unknown. */
    readonly roomRate: number | undefined;
    /** Part of the known capacity whose agents were heard from recently. */
    readonly heardShare: number;
    /** Time left until the latest start with which the job still ends on time, in milliseconds. */
    readonly spareMilliseconds: number;
}

/** Decides whether a waiting job can still be served. */
export abstract class Admission {
    /**
     * Tells whether a job that has not started can still be served.
     *
     * @param conditions - room ahead, observed rate and remaining time
     * @returns false if the job is to be refused
     */
    public abstract canServe(conditions: AdmissionConditions): boolean;
}

/** Keeps each job until its latest start. */
export class PatientAdmission extends Admission {
    /** {@inheritDoc Admission.canServe} */
    public override canServe(): boolean {
        return true;
    }
}

/** Part of the known capacity that must have been heard from; silence is no evidence of a lack of room. */
const minimumHeardShare = 0.5;

/** Factor by which room may be freed faster than was observed; a rate averaged over a second varies by about this. */
const rateMargin = 1.5;

/** Refuses a job that does not get its room within its remaining time, even somewhat faster than room was freed. */
export class CapacityAdmission extends Admission {
    /** {@inheritDoc Admission.canServe} */
    public override canServe(conditions: AdmissionConditions): boolean {
        const { roomAhead, ownRoom, roomRate, heardShare, spareMilliseconds } = conditions;
        if (roomRate === undefined || heardShare < minimumHeardShare) {
            return true;
        }
        // Workers that are silent may free room too.
        return roomAhead + ownRoom <= rateMargin * roomRate / heardShare * Math.max(0, spareMilliseconds);
    }
}
