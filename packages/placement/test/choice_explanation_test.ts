/**
 * Tests that the explanation of a choice is that of the choice which a request gets.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fastCheck from "fast-check";
import * as random from "./random.ts";

const CANDIDATE: fastCheck.Arbitrary<Omit<placement.Candidate, "id">> = fastCheck.record({
  slots: fastCheck.integer({ min: 0, max: 6 }),
  load: fastCheck.integer({ min: 0, max: 8 }),
  failureProbability: fastCheck.double({ min: 0, max: 1, noNaN: true }),
  sinceLastOutcomeMilliseconds: fastCheck.constantFrom(10, 600, 1_300, Number.POSITIVE_INFINITY),
  evidenceAgeMilliseconds: fastCheck.constantFrom(10, 600, 1_300, Number.POSITIVE_INFINITY),
  relativeProcessingTime: fastCheck.double({ min: 0.1, max: 8, noNaN: true }),
  isUnreachable: fastCheck.boolean(),
  isRemote: fastCheck.boolean(),
  warmUpMilliseconds: fastCheck.constantFrom(0, 1_000),
  isColdRateLimited: fastCheck.boolean(),
});

const CANDIDATES = fastCheck.array(CANDIDATE, { maxLength: 60 }).map((candidates) =>
  candidates.map((candidate, index) => ({
    ...candidate,
    id: model.createTargetId(`target-${index}`),
  }))
);

const REQUEST: fastCheck.Arbitrary<placement.PlacementRequest> = fastCheck.record({
  mayRetry: fastCheck.boolean(),
  objectiveMilliseconds: fastCheck.integer({ min: 100, max: 5_000 }),
  meanProcessingMilliseconds: fastCheck.integer({ min: 10, max: 2_000 }),
  allowedOverflow: fastCheck.integer({ min: 0, max: 1 }),
});

test.test("an explained choice is another one, or its terms are not those of its costs", () => {
  fastCheck.assert(
    fastCheck.property(
      CANDIDATES,
      REQUEST,
      fastCheck.integer({ min: 1, max: 2 ** 31 - 1 }),
      (candidates, request, seed) => {
        const choice = placement.chooseTarget(candidates, request, random.createRandom(seed));
        const explained = placement.explainChoice(candidates, request, random.createRandom(seed));
        assert.deepEqual(explained.choice, choice);
        assert.equal(explained.candidates.length, candidates.length);
        const freeShare = placement.getWarmFreeShare(candidates);
        for (const { candidate, costMilliseconds, terms } of explained.candidates) {
          assert.equal(costMilliseconds, placement.getCost(candidate, request, freeShare));
          const sum = Object.values<number>({ ...terms }).reduce((total, term) => total + term, 0);
          assert.ok(Math.abs(sum - costMilliseconds) < 1e-6, `${sum} for ${costMilliseconds}`);
        }
        const compared = explained.candidates
          .filter(({ noiseMilliseconds }) => noiseMilliseconds !== undefined);
        if (choice.kind === "chosen" && !choice.isProbe) {
          const getTotal = (one: placement.ExplainedCandidate) =>
            one.costMilliseconds + (one.noiseMilliseconds ?? 0);
          const [least] = compared.toSorted((left, right) => getTotal(left) - getTotal(right));
          assert.equal(least?.candidate.id, choice.candidate.id);
        } else {
          assert.equal(compared.length, 0);
        }
      },
    ),
    kernelTesting.getRandomRuns(20_261_206, 500),
  );
});
