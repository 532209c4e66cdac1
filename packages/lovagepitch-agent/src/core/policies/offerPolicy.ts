/**
 * The choice of the bid that a free slot is offered to.
 */
import type { BidRow } from "../entities/rows.js";

/** Chooses among bids. */
export abstract class OfferPolicy {
    /**
     * Chooses the bid that gets the next free slot.
     *
     * @param bids - bids that may get it; at least one
     * @returns one of them
     */
    public abstract choose(bids: readonly [BidRow, ...BidRow[]]): BidRow;
}

/** First come, first served over all entries. */
export class OldestBidFirst extends OfferPolicy {
    /** {@inheritDoc OfferPolicy.choose} */
    public override choose(bids: readonly [BidRow, ...BidRow[]]): BidRow {
        let [oldest] = bids;
        for (const bid of bids) {
            if (bid.oldestArrivalMilliseconds < oldest.oldestArrivalMilliseconds) {
                oldest = bid;
            }
        }
        return oldest;
    }
}
