/**
 * Rates and bursts over the whole fleet: a small part of each is held by every VM by right, the rest
 * is pooled at one coordinator per shard of workspaces, which more than half of the VMs have voted
 * for, and granted to VMs for a short time as they need it.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as coordinators from "./coordinator.ts";
import * as clients from "./grant_client.ts";
import * as paths from "./grant_paths.ts";
import * as holders from "./grant_holder.ts";
import * as exchanges from "./lease_exchange.ts";
import * as messages from "./messages.ts";
import * as limiterMetrics from "./metrics.ts";
import * as policies from "./reserved_policy.ts";
import * as reserved from "./reserved_shares.ts";
import * as safety from "./safety_margins.ts";
import type * as types from "./types.ts";

/** What the limiter needs of its VM. */
export interface EscrowLimiterParts {
  readonly configuration: configuration.ConfigurationService;
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly metrics: kernel.Metrics;
  readonly logger: kernel.PartLogger;
}

/** What tests and measurements change. */
export interface EscrowLimiterOptions {
  readonly margins?: safety.SafetyMargins;
  readonly reservedPolicy?: policies.ReservedPolicy;
  /** Monotonic milliseconds; a test gives each VM a clock of its own speed. */
  readonly now?: () => number;
}

const SWEEP_MILLISECONDS = 200;

/** Retry time while no coordinator is known to have a majority. */
const NO_COORDINATOR_MILLISECONDS = 500;

/** Admits requests from grants, from shards that this VM coordinates, or from its own share. */
export class EscrowLimiter implements types.RateLimiter {
  readonly #configuration: configuration.ConfigurationService;
  readonly #network: fleet.PeerNetwork;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #margins: safety.SafetyMargins;
  readonly #now: () => number;
  readonly #exchange: exchanges.LeaseExchange;
  readonly #coordinator: coordinators.Coordinator;
  readonly #holder: holders.GrantHolder;
  readonly #client: clients.GrantClient;
  readonly #paths: paths.GrantPaths;
  readonly #reserved: reserved.ReservedShares;
  readonly #recent: policies.RecentConfigurations;
  readonly #stopping = new AbortController();

  constructor(parts: EscrowLimiterParts, options: EscrowLimiterOptions = {}) {
    this.#configuration = parts.configuration;
    this.#network = parts.network;
    this.#metrics = new limiterMetrics.LimiterMetrics(parts.metrics);
    this.#margins = options.margins ?? safety.SAFETY_MARGINS;
    this.#now = options.now ?? kernel.getMonotonicMilliseconds;
    const policy = options.reservedPolicy ?? policies.RESERVED_POLICY;
    this.#recent = new policies.RecentConfigurations(policy);
    this.#coordinator = new coordinators.Coordinator(
      parts.configuration,
      this.#recent,
      this.#margins,
      this.#metrics,
    );
    this.#reserved = new reserved.ReservedShares(this.#recent, this.#margins);
    this.#holder = new holders.GrantHolder(
      this.#margins,
      (tokens) => this.#metrics.expiredTokens.inc(tokens),
      (coordinator, end) => this.#client.addReturn(coordinator, end),
    );
    this.#paths = new paths.GrantPaths(
      parts.network,
      parts.membership,
      this.#metrics,
      this.#now,
    );
    this.#client = new clients.GrantClient(
      parts.network,
      this.#paths,
      this.#holder,
      this.#margins,
      this.#metrics,
      this.#now,
      (workspace) => this.#exchange.findCoordinator(workspace),
    );
    this.#exchange = new exchanges.LeaseExchange({
      configuration: parts.configuration,
      network: parts.network,
      membership: parts.membership,
      logger: parts.logger,
      coordinator: this.#coordinator,
      recent: this.#recent,
      metrics: this.#metrics,
      margins: this.#margins,
      now: this.#now,
    });
    this.#createGauges(parts.metrics);
  }

  start(): void {
    this.#paths.listen();
    this.#network.handle(messages.GRANT_CHANNEL, (message) => this.#answerGrant(message));
    this.#network.handle(messages.RETURN_CHANNEL, (message) => this.#takeReturns(message));
    this.#exchange.start();
    void this.#runSweeps();
  }

  /** Hands all shards over to other VMs, which takes one grant lifetime and a little more. */
  async drain(): Promise<void> {
    if (!this.#exchange.close()) {
      return;
    }
    this.#returnTokens(true);
    // The successor asks for its votes and gets the levels with this VM's.
    const handover = safety.GRANT_LIFETIME_MILLISECONDS + safety.HANDOVER_MILLISECONDS;
    await kernel.sleep(handover + 2 * SWEEP_MILLISECONDS, this.#stopping.signal);
    this.#returnTokens(true);
  }

  stop(): void {
    this.#stopping.abort();
    this.#exchange.stop();
  }

  admit(
    workspace: model.Workspace,
    deadlineMilliseconds: number,
  ): types.RateDecision | Promise<types.RateDecision> {
    const now = this.#now();
    const holding = this.#holder.get(workspace.id);
    holding.addArrival(now);
    if (this.#holder.tryTake(workspace.id, holding, now)) {
      this.#client.refill(workspace.id, holding);
      return this.#count("grant", neverthrow.ok());
    }
    const own = this.#coordinator.tryTake(workspace, now);
    if (own === true) {
      return this.#count("coordinator", neverthrow.ok());
    }
    if (this.#tryReserved(workspace, now)) {
      return this.#count("own_share", neverthrow.ok());
    }
    if (own === false) {
      const wait = this.#coordinator.getWaitMilliseconds(workspace, now);
      return this.#count("over_rate", clients.refuse("over_rate", wait));
    }
    return this.#askCoordinator(workspace, holding, deadlineMilliseconds, now);
  }

  #askCoordinator(
    workspace: model.Workspace,
    holding: holders.WorkspaceHolding,
    deadlineMilliseconds: number,
    now: number,
  ): types.RateDecision | Promise<types.RateDecision> {
    if (holding.dryUntilMilliseconds > now) {
      const wait = holding.dryUntilMilliseconds - now;
      return this.#count("over_rate", clients.refuse("over_rate", wait));
    }
    const coordinator = this.#exchange.findCoordinator(workspace.id);
    const silence = this.#client.getSilenceMilliseconds(coordinator);
    const self = this.#network.self.vm;
    const isTooLate = deadlineMilliseconds - now < paths.LONGEST_QUESTION_MILLISECONDS;
    if (coordinator === self || silence > 0 || isTooLate) {
      const wait = silence > 0 ? silence : NO_COORDINATOR_MILLISECONDS;
      return this.#count("no_share", clients.refuse("no_share", wait));
    }
    const decision = this.#client.wait(workspace.id, holding, deadlineMilliseconds);
    if (!(decision instanceof Promise)) {
      return this.#count("no_share", decision);
    }
    return decision.then((settled) =>
      this.#count(settled.isOk() ? "waited" : settled.error.kind, settled)
    );
  }

  #count(decision: string, result: types.RateDecision): types.RateDecision {
    this.#metrics.decisions.inc({ decision });
    return result;
  }

  #tryReserved(workspace: model.Workspace, now: number): boolean {
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit;
    if (vmLimit === undefined) {
      return false;
    }
    const since = this.#exchange.getOwnSinceMilliseconds(workspace.id);
    return this.#reserved.tryTake(workspace, vmLimit, since, now);
  }

  #answerGrant(message: fleet.PeerMessage): messages.GrantAnswer {
    const request = messages.grantRequest.safeParse(message.payload);
    if (!request.success) {
      this.#metrics.malformed.inc({ channel: messages.GRANT_CHANNEL });
      return { grants: [] };
    }
    const now = this.#now();
    this.#endGrants(request.data.returns ?? [], now);
    return { grants: request.data.asks.map((ask) => this.#coordinator.grant(ask, now)) };
  }

  #takeReturns(message: fleet.PeerMessage): void {
    const returned = messages.returnMessage.safeParse(message.payload);
    if (!returned.success) {
      this.#metrics.malformed.inc({ channel: messages.RETURN_CHANNEL });
      return;
    }
    this.#endGrants(returned.data.returns, this.#now());
  }

  #endGrants(ends: readonly messages.Returned[], now: number): void {
    for (const end of ends) {
      this.#coordinator.takeBack(end, now);
    }
  }

  #returnTokens(all: boolean): void {
    for (const batch of this.#holder.collectReturns(this.#now(), all)) {
      for (const end of batch.returns) {
        this.#client.addReturn(batch.coordinator, end);
      }
    }
  }

  /** Regular work: own votes, returns, closings, forgetting idle workspaces. */
  async #runSweeps(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#sweep();
      await kernel.sleep(SWEEP_MILLISECONDS, this.#stopping.signal);
    }
  }

  #sweep(): void {
    const now = this.#now();
    this.#exchange.sweep(now);
    this.#coordinator.sweep(now);
    this.#returnTokens(false);
    this.#client.sweep();
    this.#reserved.sweep(now, (workspace) => this.#exchange.getOwnSinceMilliseconds(workspace));
  }

  #createGauges(metrics: kernel.Metrics): void {
    metrics.createGauge(
      "hemlockwalk_limits_shards",
      "Shards whose pooled part this VM grants.",
      () => this.#coordinator.countAuthorities(this.#now()),
    );
    metrics.createGauge(
      "hemlockwalk_limits_claimed_shards",
      "Shards for which this VM asks for votes.",
      () => this.#coordinator.listClaims().length,
    );
    metrics.createGauge(
      "hemlockwalk_limits_active_workspaces",
      "Workspaces for which this VM keeps state.",
      () => this.#coordinator.activeWorkspaces + this.#holder.size + this.#reserved.size,
    );
  }
}
