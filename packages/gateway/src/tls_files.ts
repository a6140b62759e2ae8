/**
 * The listener's certificate and key, read again when their files change.
 */

import * as fs from "node:fs";
import type * as https from "node:https";
import * as tls from "node:tls";
import type * as kernel from "@hemlockwalk/kernel";
import * as neverthrow from "neverthrow";
import type * as meters from "./meters.ts";

const POLL_MILLISECONDS = 1_000;

/** Names of the two files. */
export interface TlsFileNames {
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** A certificate and its key that belong together. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
}

/** The files cannot be used. */
export interface TlsFileError {
  readonly kind: "unusable";
  readonly detail: string;
}

/** Thrown when the files cannot be used at the start. */
export class TlsStartError extends Error {
  override readonly name = "TlsStartError";
}

/** Reads both files and makes sure that they belong together. */
export function readTlsFiles(
  names: TlsFileNames,
): neverthrow.Result<TlsMaterial, TlsFileError> {
  try {
    const material = {
      cert: fs.readFileSync(names.certificateFile),
      key: fs.readFileSync(names.keyFile),
    };
    tls.createSecureContext(material);
    return neverthrow.ok(material);
  } catch (error) {
    return neverthrow.err({ kind: "unusable", detail: (error as Error).message });
  }
}

/** Follows the files and gives new ones to a server, whose open connections go on. */
export class TlsFileWatcher {
  readonly #names: TlsFileNames;
  readonly #server: https.Server;
  readonly #logger: kernel.PartLogger;
  readonly #meters: meters.GatewayMeters;
  readonly #onChange = () => this.reload();

  constructor(
    names: TlsFileNames,
    server: https.Server,
    logger: kernel.PartLogger,
    gatewayMeters: meters.GatewayMeters,
  ) {
    this.#names = names;
    this.#server = server;
    this.#logger = logger;
    this.#meters = gatewayMeters;
  }

  start(): void {
    for (const file of [this.#names.certificateFile, this.#names.keyFile]) {
      // Polling also sees files that are replaced through a changed link.
      fs.watchFile(file, { interval: POLL_MILLISECONDS, persistent: false }, this.#onChange);
    }
  }

  stop(): void {
    for (const file of [this.#names.certificateFile, this.#names.keyFile]) {
      fs.unwatchFile(file, this.#onChange);
    }
  }

  /** Takes the files if they can be used; otherwise the ones in use stay. */
  reload(): void {
    const material = readTlsFiles(this.#names);
    if (material.isErr()) {
      this.#meters.tlsReloads.inc({ result: "refused" });
      this.#logger.error("The new TLS files are refused.", { detail: material.error.detail });
      return;
    }
    this.#server.setSecureContext({ ...material.value });
    this.#meters.tlsReloads.inc({ result: "accepted" });
    this.#logger.info("New TLS files are in use.");
  }
}
