/**
 * Binds servers to their addresses.
 */

import type * as net from "node:net";
import * as addresses from "./address.ts";

/**
 * Resolves once a server accepts connections. An error after that is emitted by the server.
 *
 * @param address Host and port, validated before.
 * @throws {Error} When the address cannot be bound; its code says why, such as EADDRINUSE.
 */
export async function listen(server: net.Server, address: string): Promise<void> {
  const { host, port } = addresses.splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
