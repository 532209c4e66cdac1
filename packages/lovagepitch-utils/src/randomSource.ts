/**
 * Seeded pseudo-random numbers.
 */
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

/** Largest integer of one draw. */
const maximumDraw = 0x7fff_ffff;

/** Deterministic stream of pseudo-random numbers. */
export class RandomSource {
    private readonly generator: RandomGenerator;

    /**
     * @param seed - the same seed produces the same stream
     */
    public constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /**
     * Draws a uniformly distributed integer.
     *
     * @param limit - number of possible values
     * @returns an integer from 0 to limit - 1
     */
    public nextInteger(limit: number): number {
        return unsafeUniformIntDistribution(0, limit - 1, this.generator);
    }

    /**
     * Draws a uniformly distributed fraction.
     *
     * @returns a number from 0 up to, but not including, 1
     */
    public nextFraction(): number {
        return unsafeUniformIntDistribution(0, maximumDraw, this.generator) / (maximumDraw + 1);
    }
}
