/**
 * Moves evidence and verdicts between this VM and the coordinators, and acts as coordinator itself.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as boards from "./verdict_store.ts";
import * as coordinators from "./coordinator.ts";
import * as floors from "./floor.ts";
import * as intervals from "./evidence_intervals.ts";
import * as judges from "./service_evaluator.ts";
import * as messages from "./messages.ts";
import type * as poolMetrics from "./pool_metrics.ts";
import type * as pools from "./pool_options.ts";
import type * as types from "./types.ts";

/**
 * Evidence, in nats, for an ejection by the coordinator: one wrong look in 160,000 at twice the share
 * that the other targets show, and far fewer at that share itself.
 */
const COORDINATOR_NATS = 12;

/**
 * VMs that must each have seen a bad call, where the target has more slots than that. A hanging target
 * of few slots is full before more VMs meet it.
 */
const LEAST_SOURCES = 3;
const LEAST_SOURCES_FOR_FEW_SLOTS = 2;

/** Coordinators whose verdicts are followed: the first, and the one that takes over from it. */
const FOLLOWED_COORDINATORS = 2;

/** What the exchange needs from its VM. */
export interface ExchangeContext {
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly configuration: configuration.ConfigurationService;
  readonly metrics: poolMetrics.PoolMetrics;
  readonly guards: pools.Guards;
  /** Called with the loads that a coordinator reports. */
  readonly onLoads: (service: model.ServiceId, loads: readonly messages.TargetLoad[]) => void;
}

/** This VM's part in pooling evidence. */
export class EvidenceExchange {
  readonly #context: ExchangeContext;
  readonly #board: boards.VerdictBoard;
  readonly #coordinators = new Map<model.ServiceId, coordinators.Coordinator>();
  readonly #ranked = new Map<model.ServiceId, readonly model.VmId[]>();
  readonly #near = new Map<types.ShortId, model.DataCentreId>();
  #view: readonly fleet.Member[] = [];
  #members = 1;
  #dataCentres = 1;

  constructor(context: ExchangeContext) {
    this.#context = context;
    this.#board = new boards.VerdictBoard(context.guards.verdictExpiry);
    context.membership.onChange(() => this.#noteMembers());
    this.#noteMembers();
    const { network } = context;
    network.handle(messages.DIGEST_CHANNEL, (message) => this.#onDigest(message));
    network.handle(messages.VERDICT_CHANNEL, (message) => this.#onVerdicts(message));
  }

  /** Members of the fleet in this VM's view. */
  get members(): number {
    return this.#members;
  }

  /** This VM's view of the fleet. It is replaced, not changed. */
  listMembers(): readonly fleet.Member[] {
    return this.#view;
  }

  /** Takes over a new configuration. */
  update(snapshot: configuration.Snapshot): void {
    this.#near.clear();
    for (const service of snapshot.listServices()) {
      for (const target of snapshot.listTargets(service.id)) {
        this.#near.set(messages.createShortId(target.id), target.dataCentre);
      }
    }
    for (const [service, coordinator] of this.#coordinators) {
      this.#declare(service, coordinator.judge);
    }
  }

  /** Sends a digest to the coordinator of its service. */
  send(digest: messages.Digest): void {
    const [first] = this.#rank(digest.service);
    const { network, metrics } = this.#context;
    metrics.digests.inc({ result: "sent" });
    if (first === undefined || first === network.self.vm) {
      this.#receive(network.self, digest);
      return;
    }
    if (network.send(first, messages.DIGEST_CHANNEL, digest).isErr()) {
      metrics.digests.inc({ result: "not_sent" });
    }
  }

  /** The verdicts on a service that this VM follows. */
  getCurrent(service: model.ServiceId, nowMilliseconds: number): boards.HeldVerdicts | undefined {
    return this.#board.getCurrent(service, this.#rank(service), nowMilliseconds);
  }

  /** What this VM's held verdicts are, when they come from another than the first coordinator. */
  getForeignVerdicts(
    service: model.ServiceId,
    nowMilliseconds: number,
  ): readonly types.Verdict[] | undefined {
    const held = this.getCurrent(service, nowMilliseconds);
    const [first] = this.#rank(service);
    if (held === undefined || held.sender === first || held.verdicts.length === 0) {
      return undefined;
    }
    const elapsed = nowMilliseconds - held.receivedAt;
    return held.verdicts.map((verdict) => ({
      ...verdict,
      remainingMilliseconds: Math.max(0, verdict.remainingMilliseconds - elapsed),
    }));
  }

  /** Does what is due. */
  tick(nowMilliseconds: number): void {
    const expired = this.#board.removeExpired(nowMilliseconds);
    this.#context.metrics.verdictsExpired.inc(expired);
    for (const [service, coordinator] of this.#coordinators) {
      coordinator.evaluate(nowMilliseconds);
      coordinator.expireUsers(nowMilliseconds);
      if (!coordinator.isUsed) {
        this.#coordinators.delete(service);
      }
    }
  }

  /** Voids the evidence of all services after a pause. */
  voidEvidence(): void {
    for (const coordinator of this.#coordinators.values()) {
      coordinator.voidEvidence();
    }
  }

  #noteMembers(): void {
    const members = this.#context.membership.listMembers();
    this.#ranked.clear();
    this.#view = [...members];
    this.#members = Math.max(1, members.length);
    this.#dataCentres = new Set(members.map((member) => member.dataCentre)).size;
  }

  #rank(service: model.ServiceId): readonly model.VmId[] {
    let ranked = this.#ranked.get(service);
    if (ranked === undefined) {
      const live = this.#context.membership.listMembers().filter((member) =>
        member.state === "live"
      );
      ranked = fleet.rankOwners(
        `targets ${service}`,
        live.map((member) => member.vm),
        FOLLOWED_COORDINATORS,
      );
      this.#ranked.set(service, ranked);
    }
    return ranked;
  }

  #onDigest(message: fleet.PeerMessage): void {
    const parsed = messages.digestSchema.safeParse(message.payload);
    if (!parsed.success) {
      this.#context.metrics.digests.inc({ result: "malformed" });
      return;
    }
    this.#receive(message.from, parsed.data);
  }

  #receive(from: fleet.VmIdentity, digest: messages.Digest): void {
    const snapshot = this.#context.configuration.getSnapshot();
    if (snapshot?.findService(digest.service) === undefined) {
      this.#context.metrics.digests.inc({ result: "unknown_service" });
      return;
    }
    this.#context.metrics.digests.inc({ result: "received" });
    const coordinator = this.#getCoordinator(digest.service);
    coordinator.receive(from, digest, kernel.getMonotonicMilliseconds());
  }

  #onVerdicts(message: fleet.PeerMessage): void {
    const parsed = messages.verdictSchema.safeParse(message.payload);
    if (!parsed.success) {
      this.#context.metrics.verdictMessages.inc({ result: "malformed" });
      return;
    }
    this.#accept(message.from, parsed.data);
  }

  #accept(from: fleet.VmIdentity, message: messages.VerdictMessage): void {
    const { network, metrics } = this.#context;
    if (message.life !== fleet.hashText(network.self.incarnation)) {
      metrics.verdictMessages.inc({ result: "other_life" });
      return;
    }
    const ignored = this.#board.accept(
      from,
      message,
      intervals.getVerdictLifetime(this.#members),
      kernel.getMonotonicMilliseconds(),
    );
    metrics.verdictMessages.inc({ result: ignored ?? "accepted" });
    if (ignored === undefined) {
      this.#context.onLoads(message.service, messages.listLoads(message.loads));
    }
  }

  #getCoordinator(service: model.ServiceId): coordinators.Coordinator {
    let coordinator = this.#coordinators.get(service);
    if (coordinator !== undefined) {
      return coordinator;
    }
    const { metrics, guards } = this.#context;
    const judge = new judges.ServiceJudge(
      {
        nats: COORDINATOR_NATS,
        // Several VMs clear each other.
        leastPeers: 0,
        getLeastSources: () => this.#getLeastSources(service),
        separatesPaths: () => guards.pathCheck && this.#dataCentres > 1,
        keepFloor: guards.floor,
      },
      metrics.createJudgeEvents("coordinator", service),
    );
    coordinator = new coordinators.Coordinator({
      service,
      judge,
      send: (to, message) => this.#sendVerdicts(to, message),
      countVoid: (reason, calls) => metrics.countVoid(reason, calls),
      countMembers: () => this.#members,
      isNear: (target, dataCentre) => {
        const near = this.#near.get(target);
        return near === undefined ? undefined : near === dataCentre;
      },
    });
    this.#declare(service, judge);
    this.#coordinators.set(service, coordinator);
    return coordinator;
  }

  #getLeastSources(service: model.ServiceId): number {
    const slots = this.#context.configuration.getSnapshot()?.findService(service)?.slots ?? 1;
    const least = slots > LEAST_SOURCES ? LEAST_SOURCES : LEAST_SOURCES_FOR_FEW_SLOTS;
    return Math.min(least, this.#members);
  }

  #sendVerdicts(to: model.VmId, message: messages.VerdictMessage): void {
    const { network } = this.#context;
    if (to === network.self.vm) {
      this.#accept(network.self, message);
      return;
    }
    network.send(to, messages.VERDICT_CHANNEL, message);
  }

  #declare(service: model.ServiceId, judge: judges.ServiceJudge): void {
    const snapshot = this.#context.configuration.getSnapshot();
    const declared = snapshot?.listTargets(service) ?? [];
    const floor = snapshot?.findService(service)?.floor ?? 1;
    judge.declare(
      declared.map((target) => ({
        target: messages.createShortId(target.id),
        leaving: target.leaving,
      })),
      floors.getAllowance(declared, floor),
    );
  }
}
