/**
 * A rate limiter for the whole fleet. A small part of each workspace's rate and burst is reserved
 * and divided between all VMs. The rest is pooled at one coordinator per shard of workspaces, which
 * has the votes of more than half of the VMs and grants tokens to VMs for a short time on demand.
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

/** Services of the VM that the limiter uses. */
export interface EscrowLimiterParts {
  readonly configuration: configuration.ConfigurationService;
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly metrics: kernel.Metrics;
  readonly logger: kernel.ComponentLogger;
}

/** Options for tests and benchmarks. */
export interface EscrowLimiterOptions {
  readonly margins?: safety.SafetyMargins;
  readonly reservedPolicy?: policies.ReservedPolicy;
  /** Monotonic time in milliseconds; a test gives each VM a clock with its own speed. */
  readonly now?: () => number;
}

const SWEEP_MILLISECONDS = 200;

/** Retry time while no coordinator with a majority is known. */
const NO_COORDINATOR_MILLISECONDS = 500;

/**
 * Admits requests with tokens from grants, from shards that this VM coordinates, or from its own
 * share.
 */
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
  readonly #recentConfigurations: policies.RecentConfigurations;
  readonly #stopping = new AbortController();

  constructor(parts: EscrowLimiterParts, options: EscrowLimiterOptions = {}) {
    this.#configuration = parts.configuration;
    this.#network = parts.network;
    this.#metrics = new limiterMetrics.LimiterMetrics(parts.metrics);
    this.#margins = options.margins ?? safety.SAFETY_MARGINS;
    this.#now = options.now ?? kernel.getMonotonicMilliseconds;
    const policy = options.reservedPolicy ?? policies.RESERVED_POLICY;
    this.#recentConfigurations = new policies.RecentConfigurations(policy);
    this.#coordinator = new coordinators.Coordinator(
      parts.configuration,
      this.#recentConfigurations,
      this.#margins,
      this.#metrics,
    );
    this.#reserved = new reserved.ReservedShares(this.#recentConfigurations, this.#margins);
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
      recentConfigurations: this.#recentConfigurations,
      metrics: this.#metrics,
      margins: this.#margins,
      now: this.#now,
    });
    this.#createGauges(parts.metrics);
  }

  start(): void {
    this.#paths.listen();
    this.#network.handle(messages.GRANT_CHANNEL, (message) => this.#answerGrant(message));
    this.#network.handle(messages.RETURN_CHANNEL, (message) => this.#receiveReturns(message));
    this.#exchange.start();
    void this.#runSweeps();
  }

  /** Hands all shards over to other VMs, which takes slightly longer than one grant lifetime. */
  async drain(): Promise<void> {
    if (!this.#exchange.startDrain()) {
      return;
    }
    this.#returnTokens(true);
    // The successor requests votes and receives the levels with this VM's vote.
    const handover = safety.GRANT_LIFETIME_MILLISECONDS + safety.HANDOVER_VALIDITY_MILLISECONDS;
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
      this.#client.prefetch(workspace.id, holding);
      return this.#recordDecision("grant", neverthrow.ok());
    }
    const taken = this.#coordinator.tryTake(workspace, now);
    if (taken === true) {
      return this.#recordDecision("coordinator", neverthrow.ok());
    }
    if (this.#tryTakeOwnShare(workspace, now)) {
      return this.#recordDecision("own_share", neverthrow.ok());
    }
    if (taken === false) {
      const wait = this.#coordinator.getWaitMilliseconds(workspace, now);
      return this.#recordDecision("over_rate", clients.createRefusal("over_rate", wait));
    }
    return this.#requestFromCoordinator(workspace, holding, deadlineMilliseconds, now);
  }

  #requestFromCoordinator(
    workspace: model.Workspace,
    holding: holders.WorkspaceHolding,
    deadlineMilliseconds: number,
    now: number,
  ): types.RateDecision | Promise<types.RateDecision> {
    if (holding.refusedUntilMilliseconds > now) {
      const wait = holding.refusedUntilMilliseconds - now;
      return this.#recordDecision("over_rate", clients.createRefusal("over_rate", wait));
    }
    const coordinator = this.#exchange.findCoordinator(workspace.id);
    const backoff = this.#client.getBackoffMilliseconds(coordinator);
    const self = this.#network.self.vm;
    const isTooLate = deadlineMilliseconds - now < paths.MAXIMUM_REQUEST_MILLISECONDS;
    if (coordinator === self || backoff > 0 || isTooLate) {
      const wait = backoff > 0 ? backoff : NO_COORDINATOR_MILLISECONDS;
      return this.#recordDecision("no_share", clients.createRefusal("no_share", wait));
    }
    const decision = this.#client.waitForToken(workspace.id, holding, deadlineMilliseconds);
    if (!(decision instanceof Promise)) {
      return this.#recordDecision("no_share", decision);
    }
    return decision.then((settled) =>
      this.#recordDecision(settled.isOk() ? "waited" : settled.error.kind, settled)
    );
  }

  #recordDecision(decision: string, result: types.RateDecision): types.RateDecision {
    this.#metrics.decisions.inc({ decision });
    return result;
  }

  #tryTakeOwnShare(workspace: model.Workspace, now: number): boolean {
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit;
    if (vmLimit === undefined) {
      return false;
    }
    const since = this.#exchange.getOwnShareSinceMilliseconds(workspace.id);
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
    return {
      grants: request.data.asks.map((tokenRequest) => this.#coordinator.grant(tokenRequest, now)),
    };
  }

  #receiveReturns(message: fleet.PeerMessage): void {
    const returned = messages.returnMessage.safeParse(message.payload);
    if (!returned.success) {
      this.#metrics.malformed.inc({ channel: messages.RETURN_CHANNEL });
      return;
    }
    this.#endGrants(returned.data.returns, this.#now());
  }

  #endGrants(ends: readonly messages.GrantReturn[], now: number): void {
    for (const end of ends) {
      this.#coordinator.endGrant(end, now);
    }
  }

  #returnTokens(all: boolean): void {
    for (const batch of this.#holder.collectReturns(this.#now(), all)) {
      for (const end of batch.returns) {
        this.#client.addReturn(batch.coordinator, end);
      }
    }
  }

  /**
   * Periodic work: votes, releases of shards, returns of unused tokens, and removal of idle state.
   */
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
    this.#reserved.sweep(
      now,
      (workspace) => this.#exchange.getOwnShareSinceMilliseconds(workspace),
    );
  }

  #createGauges(metrics: kernel.Metrics): void {
    metrics.createGauge(
      "hemlockwalk_limits_shards",
      "Shards whose pooled part this VM grants.",
      () => this.#coordinator.countMajorities(this.#now()),
    );
    metrics.createGauge(
      "hemlockwalk_limits_claimed_shards",
      "Shards for which this VM requests votes.",
      () => this.#coordinator.listClaims().length,
    );
    metrics.createGauge(
      "hemlockwalk_limits_active_workspaces",
      "Workspaces for which this VM keeps state.",
      () => this.#coordinator.activeWorkspaceCount + this.#holder.size + this.#reserved.size,
    );
  }
}
