/**
 * The mesh, which distributes the reports and updates of each VM to all others within a few ticks,
 * over few links.
 *
 * In each data centre, the VM with the largest capacity relays, the oldest among equals. All other
 * VMs of the data centre subscribe to it, and bridges link the relays of the data centres. There is
 * no election: each VM ranks the members that it tracks and subscribes to the first one that it can
 * reach. A VM with subscribers relays regardless of its own rank. Reports carry absolute values and
 * sequence numbers, so loss, repetition and loops are harmless.
 */

import * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as ws from "ws";
import * as links from "./link.ts";
import * as members from "./member_table.ts";
import * as requests from "./snapshot_requests.ts";
import * as packed from "./packed_report.ts";
import type * as types from "./types.ts";

/** Interval of link maintenance, and shortest interval between reports that are not urgent. */
const TICK_MILLISECONDS = 100;

/**
 * Interval between reports of changes that are not urgent, per VM of the fleet. It bounds the rate
 * of all reports together to two in three milliseconds, whatever the size of the fleet.
 */
const UPDATE_INTERVAL_PER_MEMBER_MILLISECONDS = 1.5;

/** Ticks that an update waits for at the two relays on its path, besides the interval of its VM. */
const RELAY_TICKS = 2;

/** Delay of an urgent report, so that several changes are sent together. */
const URGENT_DELAY_MILLISECONDS = 10;

/** Delay before a relay forwards reports, so that those of several VMs are sent together. */
const RELAY_DELAY_MILLISECONDS = 50;

/**
 * Delay before a relay forwards urgent reports, per VM of the fleet. Reports of failing targets are
 * more frequent the more VMs there are; without the delay, the number of messages from a relay
 * would grow with the square of the fleet size.
 */
const URGENT_RELAY_PER_MEMBER_MILLISECONDS = 0.3;

/** Name of the replicated state that announces new members. */
const MEMBERS_STATE = "members";

/** Interval of reports that only show that a VM runs; grows with the fleet to bound the traffic. */
const MIN_REPORT_INTERVAL_MILLISECONDS = 1_000;
const REPORT_INTERVAL_PER_MEMBER_MILLISECONDS = 10;

/** Interval of reports with the identity of this VM, for VMs that have stopped tracking it. */
const IDENTITY_INTERVAL_MILLISECONDS = 1_000;

/** Time without a sent message after which an empty message is sent on a link. */
const LINK_KEEPALIVE_MILLISECONDS = 400;

/** Time without a message after which a link is closed: three keepalives and a busy VM's delay. */
const LINK_TIMEOUT_MILLISECONDS = 1_500;

/**
 * Time without a message after which a link counts as out of contact: two keepalives. The member is
 * then passed over in the ranking, and the link stays open until the timeout.
 */
const CONTACT_MILLISECONDS = 800;

/** Time for which the members in contact are kept, as they are counted for each request. */
const CONTACTS_MILLISECONDS = 50;

/**
 * Reports that must be missing before a data centre counts as silent. Its members report at times
 * that are independent of each other.
 */
const SILENT_REPORTS = 8;

/** Time without an answer to a dial after which the next member in the ranking is dialled too. */
const DIAL_PATIENCE_MILLISECONDS = 250;

const DIAL_TIMEOUT_MILLISECONDS = 700;

/**
 * Compression of links between data centres, whose traffic is charged. Reports repeat the same
 * identifiers, so each message is compressed with the ones before it. The window holds the reports
 * of some seconds; a lower level saves processor time and costs little in size.
 */
const COMPRESSION: ws.PerMessageDeflateOptions = {
  threshold: 128,
  zlibDeflateOptions: { level: 3, memLevel: 7 },
};

/** Number of highest-ranked VMs of its own data centre to which a VM keeps links. */
const RELAYS_PER_DATA_CENTRE = 2;

/** Number of highest-ranked VMs of another data centre that are dialled until one has answered. */
const BRIDGE_DIALS = 3;

/** Time for which a relay waits for the other one to open the bridge. */
const BRIDGE_WAIT_MILLISECONDS = 200;

/**
 * Time for which a VM that stood still keeps links to some members of its data centre that it has
 * dialled itself: about as long as they leave it out of the ranking and do not dial it.
 */
const RETURN_MILLISECONDS = 2_000;

/** Number of these members. They may have stood still as well, so one is not enough. */
const RETURN_DIALS = 4;

/** Interval at which seeds are dialled that are not tracked as members. */
const SEED_INTERVAL_MILLISECONDS = 1_000;

/** Settings of a mesh. */
export interface MeshOptions {
  readonly self: types.MemberIdentity;
  /** Returns addresses of some VMs, which may be out of date. Called for each round of dials. */
  readonly listSeeds: () => readonly string[];
  readonly logger: kernel.ComponentLogger;
}

/** The links of this VM and the messages that are sent over them. */
export class Mesh implements kernel.Service, links.LinkListener {
  readonly self: types.MemberIdentity;
  readonly #options: MeshOptions;
  readonly #table: members.MemberTable;
  readonly #sections = new Map<string, types.ReportSection>();
  readonly #states = new Map<string, types.ReplicatedState>();
  readonly #exchanges = new Map<string, types.RelayExchange>();
  readonly #links = new Set<links.Link>();
  readonly #requests: requests.SnapshotRequests;
  #server: http.Server | undefined;
  #tickTimer: NodeJS.Timeout | undefined;
  #urgentTimer: NodeJS.Timeout | undefined;
  #relayTimer: NodeJS.Timeout | undefined;
  #urgentRelayTimer: NodeJS.Timeout | undefined;
  #maintenanceImmediate: NodeJS.Immediate | undefined;
  #sequence = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;
  #identitySentAt = Number.NEGATIVE_INFINITY;
  #seedsDialledAt = Number.NEGATIVE_INFINITY;
  #lastStoreResponseAt = Number.NEGATIVE_INFINITY;
  #isLeaving = false;
  #isStopped = false;
  #isRelay = true;
  #tickedAt = kernel.getMonotonicMilliseconds();
  /** Members that this VM dials after it stood still, until a time. */
  #returnDials: { readonly addresses: readonly string[]; readonly until: number } | undefined;
  /** The VM through which this one hears the others, or itself. */
  #relay: types.MemberIdentity | undefined;
  /** Members in contact, when that was found out, and the number of members then. */
  #contacts: { at: number; size: number; members: readonly types.MemberIdentity[] } = {
    at: Number.NEGATIVE_INFINITY,
    size: 0,
    members: [],
  };
  /** Time since which this relay has had no bridge to the relay of another data centre. */
  readonly #unbridgedSince = new Map<model.DataCentreId, number>();
  #requestListener: http.RequestListener | undefined;
  #storeResponseListener: types.StoreResponseListener | undefined;

  constructor(options: MeshOptions) {
    this.#options = options;
    this.self = options.self;
    this.#table = new members.MemberTable(options.self);
    this.#requests = new requests.SnapshotRequests(this.#states, this.#links, this.self.dataCentre);
    this.addReplicatedState(MEMBERS_STATE, {
      createSnapshot: () => [],
      receive: (payload) => {
        const added = (payload as types.MemberIdentity[]).map((member) =>
          this.#table.addMember(member)
        );
        return added.includes(true);
      },
    });
  }

  /** Number of tracked members, this VM included. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Number of this VM's latest report that has arrived where it is passed on: at the relay, or for a
   * relay at those of the other data centres. Infinity if there is no other VM to hear it.
   */
  get confirmedSequence(): number {
    if (this.size === 1 || (this.#isRelay && this.#table.listDataCentres().length === 1)) {
      return Number.POSITIVE_INFINITY;
    }
    const upstream = this.#listUpstreamLinks();
    return upstream.length === 0 ? 0 : Math.min(...upstream.map((link) => link.confirmedSequence));
  }

  /** Number of members, this VM included, whose reports can reach this VM at present. */
  countInContact(): number {
    return 1 + this.listInContact().length;
  }

  /**
   * Members without this VM whose reports can reach this VM at present. A relay has links to the
   * other data centres. For any other VM, a data centre is out of contact once it is silent.
   */
  listInContact(): readonly types.MemberIdentity[] {
    const now = kernel.getMonotonicMilliseconds();
    const { size } = this;
    if (now - this.#contacts.at >= CONTACTS_MILLISECONDS || this.#contacts.size !== size) {
      this.#contacts = { at: now, size, members: this.#findInContact(now) };
    }
    return this.#contacts.members;
  }

  #findInContact(now: number): types.MemberIdentity[] {
    const heard = this.#listUpstreamLinks().filter((link) =>
      now - link.receivedAt < CONTACT_MILLISECONDS
    );
    if (!this.#isRelay && heard.length === 0) {
      return [];
    }
    const dataCentres = new Set(
      this.#isRelay
        ? heard.map((link) => link.peer?.dataCentre)
        : this.#table.listHeardDataCentres((members) => this.#getSilencePatience(members)),
    );
    dataCentres.add(this.self.dataCentre);
    return this.#table.list().filter((member) => dataCentres.has(member.dataCentre));
  }

  /** Time without a report after which a data centre counts as out of contact. */
  #getSilencePatience(members: number): number {
    const share = Math.min(1, SILENT_REPORTS / members);
    return Math.max(
      CONTACT_MILLISECONDS,
      this.#getReportInterval() * share + this.propagationMilliseconds,
    );
  }

  /** Whether an incarnation of a VM has announced that it leaves. */
  hasLeft(identity: Pick<types.MemberIdentity, "vm" | "incarnation">): boolean {
    return this.#table.hasLeft(identity);
  }

  /** Open links on which the reports of VMs beyond the neighbours arrive. */
  #listUpstreamLinks(): links.Link[] {
    return [...this.#links].filter((link) =>
      link.isOpen && link.peer !== undefined &&
      (this.#isRelay
        ? link.role === "bridge"
        : link.role === "subscription" && link.dialledAddress !== undefined)
    );
  }

  /** Monotonic time of the latest response of the store to any VM, as far as known here. */
  get lastStoreResponseAt(): number {
    return this.#lastStoreResponseAt;
  }

  /** Whether the seeds name another VM. */
  get hasOtherSeeds(): boolean {
    return this.#options.listSeeds().some((seed) => seed !== this.self.address);
  }

  /** Whether there is an open link to another VM. */
  get isLinked(): boolean {
    return [...this.#links].some((link) => link.isOpen && link.peer !== undefined);
  }

  /** Whether this VM lacks a snapshot that another VM holds. */
  get isAwaitingSnapshots(): boolean {
    return this.#requests.isPending;
  }

  /** Whether this VM lacks a snapshot of one replicated state that another VM holds. */
  isAwaitingSnapshot(name: string): boolean {
    return this.#requests.isAwaiting(name);
  }

  /** Members of this data centre, the relay first. */
  rankOwnDataCentre(): types.MemberIdentity[] {
    return this.#table.rank(this.self.dataCentre);
  }

  /** The members of each data centre, the relay first, ordered by data centre. */
  rankDataCentres(): types.MemberIdentity[][] {
    return this.#table.listDataCentres().map((dataCentre) => {
      const ranked = this.#table.rank(dataCentre);
      return dataCentre === this.self.dataCentre && this.#isRelay
        ? [this.self, ...ranked.filter(({ vm }) => vm !== this.self.vm)]
        : ranked;
    });
  }

  /** The relay of each data centre as far as known here, ordered by data centre. */
  rankRelays(): types.MemberIdentity[] {
    return this.rankDataCentres().flatMap((members) => members.slice(0, 1));
  }

  /** The open links to known members. */
  listLinks(): { peer: types.MemberIdentity; role: types.LinkRole; isCompressed: boolean }[] {
    return [...this.#links].flatMap(({ isOpen, peer, role, isCompressed }) =>
      isOpen && peer !== undefined ? [{ peer, role, isCompressed }] : []
    );
  }

  addSection(name: string, section: types.ReportSection): void {
    this.#sections.set(name, section);
  }

  addReplicatedState(name: string, state: types.ReplicatedState): void {
    this.#states.set(name, state);
  }

  addRelayExchange(name: string, exchange: types.RelayExchange): void {
    this.#exchanges.set(name, exchange);
  }

  /**
   * The relay through which this VM hears the others; undefined while it relays itself or has no
   * link to one.
   */
  get upstreamRelay(): types.MemberIdentity | undefined {
    return this.#findUpstreamLink()?.peer;
  }

  /** Sends a request to the relay, if there is one. */
  sendToRelay(exchange: string, payload: unknown): void {
    this.#findUpstreamLink()?.send(links.encode({ kind: "relay_request", exchange, payload }));
  }

  #findUpstreamLink(): links.Link | undefined {
    return this.#isRelay ? undefined : this.#listUpstreamLinks()[0];
  }

  /** Sets what handles the requests that other VMs pass on to this one. */
  onRequest(listener: http.RequestListener): void {
    this.#requestListener = listener;
  }

  /** Sets what is called with each response of the store to any VM that is later than the others. */
  onStoreResponse(listener: types.StoreResponseListener): void {
    this.#storeResponseListener = listener;
  }

  /** Records that the store has just responded to this VM. */
  recordStoreResponse(): void {
    this.#recordStoreResponse(kernel.getMonotonicMilliseconds());
  }

  #recordStoreResponse(at: number): void {
    const previousAt = this.#lastStoreResponseAt;
    if (at > previousAt) {
      this.#lastStoreResponseAt = at;
      this.#storeResponseListener?.(at, previousAt);
    }
  }

  /** Sends an update of a replicated state to all VMs. */
  publish(state: string, payload: unknown): void {
    this.#forward({ kind: "feed", feed: state, payload }, undefined);
  }

  /** Time within which a change that is not urgent reaches all VMs, in milliseconds. */
  get propagationMilliseconds(): number {
    return this.#getUpdateInterval() + RELAY_TICKS * TICK_MILLISECONDS;
  }

  /** Sends the next report as an urgent one, without waiting for the tick. */
  reportSoon(): void {
    this.#urgentTimer ??= setTimeout(() => {
      this.#urgentTimer = undefined;
      this.#report(true);
      this.#flush();
    }, URGENT_DELAY_MILLISECONDS);
  }

  /** Tracked members without this VM. */
  listOthers(): types.MemberIdentity[] {
    return this.#table.list();
  }

  async start(): Promise<void> {
    // A request that another VM passes on may take as long as its caller waits.
    this.#server = http.createServer({ requestTimeout: 0 }, (request, response) => {
      if (this.#requestListener === undefined) {
        response.writeHead(404).end();
      } else {
        this.#requestListener(request, response);
      }
    });
    // A link is compressed if the VM that dials asks for it. The server is not passed, since its
    // errors would then be thrown instead of ending the start.
    const webSockets = new ws.WebSocketServer({ noServer: true, perMessageDeflate: COMPRESSION });
    this.#server.on("upgrade", (request, socket, head) => {
      if (!kernel.hasFieldNames(request.rawHeaders)) {
        socket.destroy();
        return;
      }
      webSockets.handleUpgrade(request, socket, head, (opened) => this.#accept(opened));
    });
    await kernel.listen(this.#server, this.self.address);
    this.#tickTimer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
    this.#tick();
  }

  /** Announces to all VMs that this one leaves. */
  drain(): void {
    this.#isLeaving = true;
    this.#reportedAt = Number.NEGATIVE_INFINITY;
    this.#report(true);
    this.#flush();
  }

  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#tickTimer);
    clearImmediate(this.#maintenanceImmediate);
    this.#requests.stop();
    clearTimeout(this.#urgentTimer);
    clearTimeout(this.#relayTimer);
    clearTimeout(this.#urgentRelayTimer);
    for (const link of this.#links) {
      this.#discard(link);
    }
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  onMessage(link: links.Link, message: types.LinkMessage): void {
    switch (message.kind) {
      case "hello":
        link.peer = message.identity;
        this.#table.markReachable(message.identity.vm);
        this.#receiveState({
          kind: "feed",
          feed: MEMBERS_STATE,
          payload: [message.identity, ...message.members],
        }, link);
        for (const [name, payload] of Object.entries(message.feeds)) {
          this.#receiveState({ kind: "feed", feed: name, payload }, link);
        }
        if (link.dialledAddress === undefined) {
          this.#sendHello(link);
        }
        this.#receiveDigests(message.marks, link);
        this.#maintainLinks();
        return;
      case "role":
        link.role = message.role;
        return;
      case "relay_request":
        this.#answerRelayRequest(message.exchange, message.payload, link);
        return;
      case "relay_response":
        if (link.peer !== undefined) {
          this.#exchanges.get(message.exchange)?.receiveResponse(link.peer, message.payload);
        }
        return;
      case "reports":
        this.#receiveReports(message, link);
        return;
      case "marks":
        this.#receiveDigests(message.marks, link);
        return;
      case "request":
        this.#sendSnapshots(message.feeds, link);
        return;
      case "feed":
        this.#receiveState(message, link);
        if (message.isWhole === true) {
          this.#requests.complete(link, message.feed);
        }
        return;
    }
  }

  onClose(link: links.Link): void {
    if (!this.#links.delete(link)) {
      // This VM has closed the link itself, which says nothing about the other.
      return;
    }
    this.#requests.drop(link);
    if (link.peer === undefined) {
      const member = this.#table.list().find((known) => known.address === link.dialledAddress);
      if (member !== undefined) {
        this.#table.markUnreachable(member.vm);
      }
      return;
    }
    this.#options.logger.write(kernel.LogMessages.linkLost, {
      peer: link.peer.vm,
      role: link.role,
    });
    if (link.dialledAddress !== undefined) {
      this.#table.markUnreachable(link.peer.vm);
      this.#maintainLinks();
    }
  }

  #tick(): void {
    // Half a tick early, since the timer may fire slightly early.
    const dueAt = this.#reportedAt + this.#getUpdateInterval() - TICK_MILLISECONDS / 2;
    if (kernel.getMonotonicMilliseconds() >= dueAt) {
      this.#report(false);
    }
    this.#flush();
    // Runs after input that arrived while the event loop was blocked has been handled, so that no
    // link or member expires whose messages have already arrived.
    this.#maintenanceImmediate = setImmediate(() => {
      this.#closeInactiveLinks();
      this.#requests.advance();
      // Before members expire, which all do during a long pause.
      this.#watchOwnPauses();
      this.#table.expire(this.#getReportInterval());
      this.#maintainLinks();
    });
  }

  /**
   * Dials members of the data centre after this VM stood still. They have closed their links to it
   * and left it out of the ranking, so none of them would dial it at once, and VMs that stood still
   * together would only link each other.
   */
  #watchOwnPauses(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#tickedAt >= CONTACT_MILLISECONDS) {
      const { vm, dataCentre } = this.self;
      const local = this.#table.list().filter((other) =>
        other.dataCentre === dataCentre && other.vm !== vm
      );
      const drawn: string[] = [];
      while (drawn.length < RETURN_DIALS && local.length > 0) {
        const [member] = local.splice(Math.floor(Math.random() * local.length), 1);
        drawn.push(...(member === undefined ? [] : [member.address]));
      }
      this.#returnDials = { addresses: drawn, until: now + RETURN_MILLISECONDS };
    } else if (this.#returnDials !== undefined && this.#returnDials.until <= now) {
      this.#returnDials = undefined;
    }
    this.#tickedAt = now;
  }

  #getUpdateInterval(): number {
    const byFleet = this.#table.size * UPDATE_INTERVAL_PER_MEMBER_MILLISECONDS;
    return Math.max(TICK_MILLISECONDS, byFleet);
  }

  /** Forwards reports within the data centre. Bridges wait for the tick to limit their traffic. */
  #scheduleRelay(): void {
    this.#relayTimer ??= setTimeout(() => {
      this.#relayTimer = undefined;
      this.#flush((link) => link.role !== "bridge");
    }, RELAY_DELAY_MILLISECONDS);
  }

  /** Forwards urgent reports on all links, with all others that arrive within the delay. */
  #scheduleUrgentRelay(): void {
    this.#urgentRelayTimer ??= setTimeout(
      () => {
        this.#urgentRelayTimer = undefined;
        this.#flush();
      },
      Math.max(
        URGENT_DELAY_MILLISECONDS,
        this.#table.size * URGENT_RELAY_PER_MEMBER_MILLISECONDS,
      ),
    );
  }

  #getReportInterval(): number {
    return Math.max(
      MIN_REPORT_INTERVAL_MILLISECONDS,
      this.#table.size * REPORT_INTERVAL_PER_MEMBER_MILLISECONDS,
    );
  }

  /** Queues a report of this VM if there are changes or if one is due. */
  #report(isUrgent: boolean): void {
    const sections: Record<string, unknown> = {};
    let hasChanges = false;
    for (const [name, section] of this.#sections) {
      const payload = section.collect(this.#sequence + 1);
      if (payload !== undefined) {
        sections[name] = payload;
        hasChanges = true;
      }
    }
    const now = kernel.getMonotonicMilliseconds();
    if (!hasChanges && now - this.#reportedAt < this.#getReportInterval()) {
      return;
    }
    this.#reportedAt = now;
    const includesIdentity = now - this.#identitySentAt >= IDENTITY_INTERVAL_MILLISECONDS;
    if (includesIdentity) {
      this.#identitySentAt = now;
    }
    const report: types.Report = {
      tag: this.self.tag,
      sequence: ++this.#sequence,
      isLeaving: this.#isLeaving,
      isUrgent,
      sections,
      origin: includesIdentity ? this.self : undefined,
    };
    this.#queue(packed.encodeReport(report), undefined);
  }

  /** Queues a report on the links to which it is forwarded. */
  #queue(report: Uint8Array, from: links.Link | undefined): void {
    for (const link of this.#links) {
      if (link !== from && link.peer !== undefined && this.#shouldForward(from, link)) {
        link.queuedReports.push(report);
      }
    }
  }

  #flush(isFlushed: (link: links.Link) => boolean = () => true): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const link of this.#links) {
      if (!link.isOpen || link.peer === undefined || !isFlushed(link)) {
        continue;
      }
      const reports = link.queuedReports.splice(0);
      const isDue = now - link.sentAt >= LINK_KEEPALIVE_MILLISECONDS;
      if (reports.length > 0 || link.mustConfirm || isDue) {
        link.mustConfirm = false;
        link.send(links.encode({
          kind: "reports",
          reports,
          confirmedAge: this.#getStoreResponseAge(now),
          received: link.receivedSequence,
        }));
      }
    }
  }

  #getStoreResponseAge(now: number): number | undefined {
    return this.#lastStoreResponseAt === Number.NEGATIVE_INFINITY
      ? undefined
      : now - this.#lastStoreResponseAt;
  }

  /**
   * Whether a report from one link, or from this VM if there is none, is sent on another: not on
   * standbys, and not from bridge to bridge.
   */
  #shouldForward(from: links.Link | undefined, to: links.Link): boolean {
    if (to.role === "standby") {
      return false;
    }
    return !(from?.role === "bridge" && to.role === "bridge");
  }

  #answerRelayRequest(exchange: string, request: unknown, link: links.Link): void {
    const payload = link.peer === undefined || this.#isLeaving
      ? undefined
      : this.#exchanges.get(exchange)?.receiveRequest(link.peer, request);
    if (payload !== undefined) {
      link.send(links.encode({ kind: "relay_response", exchange, payload }));
    }
  }

  #receiveReports(
    message: Extract<types.LinkMessage, { kind: "reports" }>,
    link: links.Link,
  ): void {
    if (typeof message.confirmedAge === "number") {
      this.#recordStoreResponse(kernel.getMonotonicMilliseconds() - message.confirmedAge);
    }
    link.confirmedSequence = message.received ?? this.#sequence;
    let isUrgent = false;
    for (const encoded of message.reports) {
      const report = packed.decodeReport(encoded);
      if (report.isErr()) {
        this.#options.logger.write(kernel.LogMessages.reportUnreadable, {
          peer: link.peer?.vm,
          error: report.error,
        });
        continue;
      }
      this.#receiveReport(report.value, encoded, link);
      isUrgent ||= report.value.isUrgent;
    }
    if (isUrgent) {
      this.#scheduleUrgentRelay();
    } else if (message.reports.length > 0) {
      this.#scheduleRelay();
    }
  }

  #receiveReport(report: types.Report, encoded: Uint8Array, link: links.Link): void {
    if (report.origin !== undefined) {
      this.#table.addMember(report.origin);
    }
    if (report.tag === link.peer?.tag) {
      link.receivedSequence = Math.max(link.receivedSequence, report.sequence);
      link.mustConfirm ||= report.isUrgent;
    }
    const origin = this.#table.recordReport(report.tag, report.sequence);
    if (origin === undefined) {
      return;
    }
    for (const [name, payload] of Object.entries(report.sections)) {
      this.#sections.get(name)?.receive(origin, payload);
    }
    if (report.isLeaving) {
      this.#table.endIncarnation(origin);
    }
    this.#queue(encoded, link);
  }

  #receiveState(message: Extract<types.LinkMessage, { kind: "feed" }>, link: links.Link): void {
    const state = this.#states.get(message.feed);
    const isNew = state?.receive(message.payload) ?? false;
    if (!isNew) {
      return;
    }
    if (message.isWhole === true && state?.digest !== undefined) {
      // Most other VMs already hold this state, so they are sent only its digest.
      this.#forward({ kind: "marks", marks: { [message.feed]: state.digest.get() } }, link);
    } else {
      this.#forward(message, link);
    }
  }

  #receiveDigests(digests: Readonly<Record<string, unknown>>, link: links.Link): void {
    for (const [name, digest] of Object.entries(digests)) {
      link.digests.set(name, digest);
    }
    this.#requests.advance();
  }

  #forward(message: types.LinkMessage, from: links.Link | undefined): void {
    const encoded = links.encode(message);
    for (const link of this.#links) {
      // Updates are rare and urgent, so they are also sent over standbys. They are sent even before
      // the hello of the other VM has arrived, since the hello sent to it does not contain them.
      if (link !== from && link.hasSentHello) {
        link.send(encoded);
      }
    }
  }

  #sendSnapshots(names: readonly string[], link: links.Link): void {
    for (const name of names) {
      const state = this.#states.get(name);
      if (state !== undefined) {
        const payload = state.createSnapshot();
        link.send(links.encode({ kind: "feed", feed: name, payload, isWhole: true }));
      }
    }
  }

  /** Sends the members and, for each replicated state, its digest or else its snapshot. */
  #sendHello(link: links.Link): void {
    const snapshots: Record<string, unknown> = {};
    const digests: Record<string, unknown> = {};
    for (const [name, state] of this.#states) {
      if (state.digest === undefined) {
        snapshots[name] = state.createSnapshot();
      } else {
        digests[name] = state.digest.get();
      }
    }
    link.hasSentHello = true;
    link.send(links.encode({
      kind: "hello",
      identity: this.self,
      members: this.#table.list(),
      feeds: snapshots,
      marks: digests,
    }));
  }

  #closeInactiveLinks(): void {
    const oldest = kernel.getMonotonicMilliseconds() - LINK_TIMEOUT_MILLISECONDS;
    for (const link of this.#links) {
      if (link.receivedAt < oldest) {
        if (link.peer !== undefined) {
          this.#table.markUnreachable(link.peer.vm);
        }
        link.close();
      }
    }
  }

  /** Dials the relays to which this VM should be linked and closes links that are not needed. */
  #maintainLinks(): void {
    const wanted = this.#chooseRoles();
    for (const link of this.#links) {
      if (link.dialledAddress === undefined || link.peer === undefined) {
        continue;
      }
      const role = wanted.get(link.peer.address);
      if (role === undefined) {
        // An unresponsive link shows that the member is to be passed over, until it times out.
        if (isResponsive(link)) {
          this.#discard(link);
        }
      } else if (link.isCompressed && this.#isLocal(link.peer.address)) {
        // A seed is dialled before its data centre is known. It is dialled again below.
        this.#discard(link);
        continue;
      } else if (role !== link.role) {
        link.role = role;
        link.send(links.encode({ kind: "role", role }));
      }
      wanted.delete(link.peer.address);
    }
    for (const address of wanted.keys()) {
      this.#dial(address);
    }
    this.#dialSeeds();
  }

  #chooseRoles(): Map<string, types.LinkRole> {
    const dialled = this.#returnDials?.addresses ?? [];
    const roles = new Map<string, types.LinkRole>([
      ...dialled.map((address) => [address, "standby"] as const),
      ...this.#chooseOwnRoles(),
    ]);
    if (this.#isRelay) {
      for (const dataCentre of this.#table.listDataCentres()) {
        if (dataCentre !== this.self.dataCentre) {
          this.#chooseBridges(dataCentre).forEach((address) => roles.set(address, "bridge"));
        }
      }
    }
    return roles;
  }

  /**
   * Chooses the roles of the links within the data centre and whether this VM relays. Links in use
   * are kept until better ones are open, so that updates arrive without a gap while the ranking
   * changes or names a VM that does not answer.
   */
  #chooseOwnRoles(): Map<string, types.LinkRole> {
    const ranked = this.#rankResponsive(this.self.dataCentre);
    const better = ranked.slice(0, ranked.findIndex((member) => member.vm === this.self.vm));
    const linked = better.filter((member) =>
      this.#listOpenLinks(member).some((link) => link.dialledAddress !== undefined)
    );
    const [upstream] = linked;
    this.#isRelay = better.length === 0 ||
      (this.#isRelay && upstream === undefined && this.#hasRelayed());
    this.#recordRelay(this.#isRelay ? this.self : upstream);
    const chosen = [
      ...better.slice(0, RELAYS_PER_DATA_CENTRE),
      ...linked.slice(0, RELAYS_PER_DATA_CENTRE),
    ];
    return new Map(
      chosen.map((member) => [member.address, member === upstream ? "subscription" : "standby"]),
    );
  }

  /** Logs a change of the relay; without one at present, the next one is awaited. */
  #recordRelay(relay: types.MemberIdentity | undefined): void {
    const previous = this.#relay;
    if (relay === undefined || relay.vm === previous?.vm) {
      return;
    }
    this.#relay = relay;
    const silences = [...this.#links]
      .filter((link) => link.peer !== undefined && link.peer.vm === previous?.vm)
      .map((link) => Math.round(kernel.getMonotonicMilliseconds() - link.receivedAt));
    this.#options.logger.write(kernel.LogMessages.relayChanged, {
      relay: relay.vm,
      previous: previous?.vm,
      silentMilliseconds: silences.length === 0 ? undefined : Math.min(...silences),
    });
  }

  /** Whether other VMs use this one as a relay. */
  #hasRelayed(): boolean {
    return [...this.#links].some((link) =>
      isResponsive(link) &&
      (link.role === "bridge" ||
        (link.role === "subscription" && link.dialledAddress === undefined))
    );
  }

  /** Chooses the members of another data centre to which this relay is to have dialled a bridge. */
  #chooseBridges(dataCentre: model.DataCentreId): string[] {
    const ranked = this.#rankResponsive(dataCentre);
    const [relay] = ranked;
    if (relay === undefined) {
      return [];
    }
    const isBridge = (link: links.Link) => link.role === "bridge" && isResponsive(link);
    const bridges = this.#listOpenLinks(relay).filter(isBridge);
    // Only one of the two relays dials, so that they do not keep two bridges.
    const mustDial = relay.vm > this.self.vm;
    if (bridges.length > 0) {
      this.#unbridgedSince.delete(dataCentre);
      const isDialledByOther = bridges.some((link) => link.dialledAddress === undefined);
      return mustDial || !isDialledByOther ? [relay.address] : [];
    }
    const now = kernel.getMonotonicMilliseconds();
    const since = this.#unbridgedSince.get(dataCentre) ?? now;
    this.#unbridgedSince.set(dataCentre, since);
    const inUse = [...this.#links].filter((link) =>
      isBridge(link) && link.dialledAddress !== undefined && link.peer?.dataCentre === dataCentre
    );
    const isWaiting = !mustDial && now - since < BRIDGE_WAIT_MILLISECONDS;
    const dials = isWaiting ? 0 : inUse.length > 0 ? 1 : BRIDGE_DIALS;
    return [
      ...ranked.slice(0, dials).map(({ address }) => address),
      ...inUse.flatMap(({ peer }) => peer?.address ?? []),
    ];
  }

  /** Ranks the members of a data centre without those that do not answer on their links. */
  #rankResponsive(dataCentre: model.DataCentreId): types.MemberIdentity[] {
    const unresponsive = new Set<string>();
    const responsive = new Set<string>();
    for (const link of this.#links) {
      const address = link.peer?.address ?? link.dialledAddress;
      if (address !== undefined) {
        (isResponsive(link) ? responsive : unresponsive).add(address);
      }
    }
    return this.#table.rank(dataCentre).filter(({ vm, address }) =>
      vm === this.self.vm || responsive.has(address) || !unresponsive.has(address)
    );
  }

  #listOpenLinks(member: types.MemberIdentity): links.Link[] {
    return [...this.#links].filter((link) => link.isOpen && link.peer?.vm === member.vm);
  }

  #dialSeeds(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#seedsDialledAt < SEED_INTERVAL_MILLISECONDS) {
      return;
    }
    this.#seedsDialledAt = now;
    const known = new Set(this.#table.list().map((member) => member.address));
    for (const seed of this.#options.listSeeds()) {
      if (seed !== this.self.address && !known.has(seed)) {
        this.#dial(seed);
      }
    }
  }

  #dial(address: string): void {
    const isDialled = [...this.#links].some((link) => link.dialledAddress === address);
    if (isDialled) {
      return;
    }
    const socket = new ws.WebSocket(`ws://${address}`, {
      perMessageDeflate: this.#isLocal(address) ? false : COMPRESSION,
      handshakeTimeout: DIAL_TIMEOUT_MILLISECONDS,
    });
    const link = new links.Link(socket, this, address);
    socket.once("upgrade", ({ rawHeaders }) => {
      if (!kernel.hasFieldNames(rawHeaders)) {
        link.close();
      }
    });
    socket.once("open", () => this.#sendHello(link));
    this.#links.add(link);
  }

  /** Whether an address belongs to a known member of this data centre. */
  #isLocal(address: string): boolean {
    return this.#table.list().some((member) =>
      member.address === address && member.dataCentre === this.self.dataCentre
    );
  }

  /** Adds a link that another VM has opened. */
  #accept(socket: ws.WebSocket): void {
    if (this.#isStopped) {
      socket.terminate();
      return;
    }
    this.#links.add(new links.Link(socket, this));
  }

  /** Closes a link that this VM does not need. */
  #discard(link: links.Link): void {
    this.#links.delete(link);
    this.#requests.drop(link);
    link.close();
  }
}

/** Whether the other VM has sent something lately, or has not had the time to answer a dial. */
function isResponsive(link: links.Link): boolean {
  const patience = link.peer === undefined ? DIAL_PATIENCE_MILLISECONDS : CONTACT_MILLISECONDS;
  return kernel.getMonotonicMilliseconds() - link.receivedAt < patience;
}
