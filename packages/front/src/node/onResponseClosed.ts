import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Calls back once when a response has ended or its connection has closed. The socket is watched too, because a pipelined
 * response that waits for an earlier one emits no event when the connection closes.
 *
 * @param message - the request
 * @param response - the response to the request
 * @param callback - called once
 */
export function onResponseClosed (message: IncomingMessage, response: ServerResponse, callback: () => void): void {
  const socket = message.socket
  let isSettled = false
  const notify = (): void => {
    if (isSettled) return
    isSettled = true
    response.off('close', notify)
    socket.off('close', notify)
    callback()
  }
  response.on('close', notify)
  socket.on('close', notify)
  if (socket.destroyed) notify()
}
