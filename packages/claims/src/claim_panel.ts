/**
 * Sends a claim to the slots of a key's panel, whichever VMs hold them.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as messages from "./claim_messages.ts";
import type * as holders from "./slot_holder.ts";
import * as slots from "./slots.ts";
import type * as voters from "./slot_voter.ts";

/** Wait before a slot is asked again whose holder did not respond. */
const UNRESPONSIVE_HOLDER_WAIT_MILLISECONDS = 1_000;

/** Combined verdicts of the slots of a panel. */
export interface PanelVerdict {
  readonly granted: number;
  /** Other claims on the key, each once. */
  readonly taken: readonly messages.ClaimOwner[];
  /** Waits in milliseconds that the abstaining slots requested, shortest first. */
  readonly waits: readonly number[];
}

/** A claim and the slots that decide on it. */
export interface PanelClaim {
  readonly panel: readonly number[];
  readonly key: string;
  readonly owner: messages.ClaimOwner;
}

const ABSTAINED: messages.SlotVerdict = {
  kind: "abstained",
  waitMilliseconds: UNRESPONSIVE_HOLDER_WAIT_MILLISECONDS,
};

/** Sends claims and releases to the slots of panels. */
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

  /**
   * Asks all slots in parallel. Settles as soon as a majority has granted the claim, or when all
   * have responded or timed out.
   */
  ask(
    claim: PanelClaim,
    timeoutMilliseconds: number,
    isRefresh: boolean,
  ): Promise<PanelVerdict> {
    const groups = this.#groupByHolder(claim.panel);
    const verdicts: messages.SlotVerdict[] = [];
    return new Promise((resolve) => {
      let remainingGroups = groups.size;
      for (const [vm, group] of groups) {
        void this.#askHolder(vm, group, claim, timeoutMilliseconds, isRefresh).then((answer) => {
          remainingGroups--;
          verdicts.push(...answer);
          const verdict = summarize(verdicts);
          if (remainingGroups === 0 || verdict.granted >= slots.PANEL_MAJORITY) {
            resolve(verdict);
          }
        });
      }
    });
  }

  /** Releases an unused claim at its slots. */
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
      const waitMilliseconds = this.#voter.estimateWait();
      return group.map(() => ({ kind: "abstained", waitMilliseconds }));
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
    const isComplete = answer?.success === true && answer.data.verdicts.length === group.length;
    return isComplete ? answer.data.verdicts : group.map(() => ABSTAINED);
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
