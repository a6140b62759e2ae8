/**
 * Chooses targets in turn. A baseline for other strategies.
 */

import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** Chooses the targets of a service in turn. */
export class RoundRobinStrategy implements types.ChoiceStrategy {
  readonly #last = new Map<model.ServiceId, model.TargetId>();

  choose(
    service: model.ServiceId,
    candidates: readonly types.Candidate[],
  ): types.Candidate | undefined {
    const last = this.#last.get(service);
    const next = last === undefined
      ? undefined
      : candidates.find((candidate) => candidate.target.id > last);
    const chosen = next ?? candidates[0];
    if (chosen !== undefined) {
      this.#last.set(service, chosen.target.id);
    }
    return chosen;
  }
}
