/**
 * Counters of the links between VMs.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** Counters of frames, bytes, links and handshakes of one VM. */
export class PeerCounters {
  readonly frames;
  readonly bytes;
  readonly sentBytes;
  readonly drops;
  readonly linksOpened;
  readonly linksEnded;
  readonly handshakesRefused;
  readonly dialsFailed;

  constructor(metrics: kernel.Metrics) {
    this.frames = metrics.createCounter(
      "hemlockwalk_peer_frames_total",
      "Frames sent and received over peer links, including the links' own heartbeats.",
      ["direction"],
    );
    this.bytes = metrics.createCounter(
      "hemlockwalk_peer_bytes_total",
      "Bytes of frames sent and received over peer links, without the overhead of TCP.",
      ["direction"],
    );
    this.sentBytes = metrics.createCounter(
      "hemlockwalk_peer_sent_bytes_total",
      "Bytes of frames passed to peer links, by the part of the daemon that sent them.",
      ["part"],
    );
    this.drops = metrics.createCounter(
      "hemlockwalk_peer_drops_total",
      "Frames dropped, by reason.",
      ["reason"],
    );
    this.linksOpened = metrics.createCounter(
      "hemlockwalk_peer_links_opened_total",
      "Links opened, by the role of this VM and whether the peer had a link before.",
      ["role", "again"],
    );
    this.linksEnded = metrics.createCounter(
      "hemlockwalk_peer_links_ended_total",
      "Links ended, by reason.",
      ["reason"],
    );
    this.handshakesRefused = metrics.createCounter(
      "hemlockwalk_peer_handshakes_refused_total",
      "Connections whose handshake failed, by reason.",
      ["reason"],
    );
    this.dialsFailed = metrics.createCounter(
      "hemlockwalk_peer_dials_failed_total",
      "Connections to peers that could not be opened.",
    );
  }
}
