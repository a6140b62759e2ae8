/**
 * Asks the slots of a key's panel, wherever they are held.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as messages from "./claim_messages.ts";
import type * as holders from "./slot_holder.ts";
import * as slots from "./slots.ts";
import type * as voters from "./slot_voter.ts";

/** A slot whose holder is unknown or silent is asked again after this time. */
const NO_HOLDER_WAIT_MILLISECONDS = 1_000;

/** What a panel said. */
export interface PanelVerdict {
  readonly granted: number;
  /** Other claims on the key, each once. */
  readonly taken: readonly messages.ClaimOwner[];
  /** How long the abstaining slots want to be left alone, shortest first. */
  readonly waits: readonly number[];
}

/** A claim on its way to the slots. */
export interface PanelClaim {
  readonly panel: readonly number[];
  readonly key: string;
  readonly owner: messages.ClaimOwner;
}

const ABSTAINED: messages.SlotVerdict = {
  kind: "abstained",
  waitMilliseconds: NO_HOLDER_WAIT_MILLISECONDS,
};

/** Reaches the slots of panels. */
export class ClaimPanel {
  readonly #network: fleet.PeerNetwork;
  readonly #holder: holders.SlotHolder;
  readonly #voter: voters.SlotVoter;

  constructor(
    network: fleet.PeerNetwork,
    holder: holders.SlotHolder,
    voter: voters.SlotVoter,
  ) {
    this.#network = network;
    this.#holder = holder;
    this.#voter = voter;
  }

  /** Asks all slots at once. Settles as soon as a majority granted, or when all have been heard. */
  ask(
    claim: PanelClaim,
    timeoutMilliseconds: number,
    isRefresh: boolean,
  ): Promise<PanelVerdict> {
    const groups = this.#groupByHolder(claim.panel);
    const verdicts: messages.SlotVerdict[] = [];
    return new Promise((resolve) => {
      let left = groups.size;
      for (const [vm, group] of groups) {
        void this.#askHolder(vm, group, claim, timeoutMilliseconds, isRefresh).then((answer) => {
          left--;
          verdicts.push(...answer);
          const verdict = summarize(verdicts);
          if (left === 0 || verdict.granted >= slots.PANEL_MAJORITY) {
            resolve(verdict);
          }
        });
      }
    });
  }

  /** Tells the slots that a claim is not used. */
  release(claim: PanelClaim): void {
    for (const [vm, group] of this.#groupByHolder(claim.panel)) {
      if (vm === this.#network.self.vm) {
        for (const slot of group) {
          this.#holder.releaseClaim(slot, claim.key, claim.owner.claim);
        }
      } else if (vm !== undefined) {
        this.#network.send(vm, messages.RELEASE_CLAIM_CHANNEL, {
          slots: group,
          key: claim.key,
          claim: claim.owner.claim,
        });
      }
    }
  }

  #groupByHolder(panel: readonly number[]): Map<model.VmId | undefined, number[]> {
    const groups = new Map<model.VmId | undefined, number[]>();
    for (const slot of panel) {
      const vm = this.#voter.findHolder(slot)?.vm;
      const group = groups.get(vm) ?? [];
      group.push(slot);
      groups.set(vm, group);
    }
    return groups;
  }

  async #askHolder(
    vm: model.VmId | undefined,
    group: readonly number[],
    claim: PanelClaim,
    timeoutMilliseconds: number,
    isRefresh: boolean,
  ): Promise<messages.SlotVerdict[]> {
    if (vm === undefined) {
      return group.map(() => ABSTAINED);
    }
    if (vm === this.#network.self.vm) {
      return group.map((slot) => this.#holder.decide(slot, claim.key, claim.owner, isRefresh));
    }
    const called = await this.#network.call(
      vm,
      messages.CLAIM_CHANNEL,
      {
        slots: group,
        key: claim.key,
        fingerprint: claim.owner.fingerprint,
        claim: claim.owner.claim,
        isRefresh,
      },
      timeoutMilliseconds,
    );
    const answer = called.isOk() ? messages.claimAnswerSchema.safeParse(called.value) : undefined;
    const isWhole = answer?.success === true && answer.data.verdicts.length === group.length;
    return isWhole ? answer.data.verdicts : group.map(() => ABSTAINED);
  }
}

function summarize(verdicts: readonly messages.SlotVerdict[]): PanelVerdict {
  const taken = new Map<string, messages.ClaimOwner>();
  const waits: number[] = [];
  let granted = 0;
  for (const verdict of verdicts) {
    switch (verdict.kind) {
      case "granted":
        granted++;
        break;
      case "taken":
        taken.set(verdict.owner.claim, verdict.owner);
        break;
      default:
        waits.push(verdict.waitMilliseconds);
    }
  }
  waits.sort((left, right) => left - right);
  return { granted, taken: [...taken.values()], waits };
}
