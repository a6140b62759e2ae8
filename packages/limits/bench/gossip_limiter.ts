/**
 * An unsafe baseline: every VM counts its own admissions in a bucket with the whole rate and
 * reports the tokens that it took to all others ten times a second.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as limits from "../src/mod.ts";

const CHANNEL = fleet.createChannelName("bench.gossip");
const GOSSIP_MILLISECONDS = 100;

const taken = zod.object({
  taken: zod.array(zod.object({ workspace: zod.string(), count: zod.number() })),
});

interface Account {
  level: number;
  updatedMilliseconds: number;
  taken: number;
}

/** Admits requests from this VM's estimate of the tokens that are left in the whole fleet. */
export class GossipLimiter implements limits.RateLimiter {
  readonly #parts: limits.EscrowLimiterParts;
  readonly #accounts = new Map<model.WorkspaceId, Account>();
  readonly #stopping = new AbortController();

  constructor(parts: limits.EscrowLimiterParts) {
    this.#parts = parts;
  }

  start(): void {
    this.#parts.network.handle(CHANNEL, (message) => this.#receive(message));
    void this.#runGossip();
  }

  stop(): void {
    this.#stopping.abort();
  }

  admit(workspace: model.Workspace): limits.RateDecision {
    const account = this.#updateAccount(workspace);
    if (account.level < 1) {
      return neverthrow.err({ kind: "over_rate", retryAfterMilliseconds: 1_000 });
    }
    account.level--;
    account.taken++;
    return neverthrow.ok();
  }

  #updateAccount(workspace: model.Workspace): Account {
    const now = kernel.getMonotonicMilliseconds();
    let account = this.#accounts.get(workspace.id);
    if (account === undefined) {
      account = { level: workspace.burst, updatedMilliseconds: now, taken: 0 };
      this.#accounts.set(workspace.id, account);
    }
    const accrued = (now - account.updatedMilliseconds) * workspace.rate / 1_000;
    account.level = Math.min(workspace.burst, account.level + accrued);
    account.updatedMilliseconds = now;
    return account;
  }

  async #runGossip(): Promise<void> {
    while (await kernel.sleep(GOSSIP_MILLISECONDS, this.#stopping.signal)) {
      const entries = [];
      for (const [workspace, account] of this.#accounts) {
        if (account.taken > 0) {
          entries.push({ workspace, count: account.taken });
          account.taken = 0;
        }
      }
      if (entries.length > 0) {
        this.#broadcast({ taken: entries });
      }
    }
  }

  #broadcast(payload: zod.infer<typeof taken>): void {
    for (const member of this.#parts.membership.listMembers()) {
      if (member.vm !== this.#parts.network.self.vm) {
        this.#parts.network.send(member.vm, CHANNEL, payload);
      }
    }
  }

  #receive(message: fleet.PeerMessage): void {
    for (const { workspace, count } of taken.parse(message.payload).taken) {
      const declared = this.#parts.configuration.getSnapshot()
        ?.findWorkspace(workspace as model.WorkspaceId);
      if (declared !== undefined) {
        this.#updateAccount(declared).level -= count;
      }
    }
  }
}
