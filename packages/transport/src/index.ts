export * from './constants.js';
export * from './errors.js';
export * from './http_client.js';
export * from './http_server.js';
export * from './peer_connection.js';
export * from './peer_network.js';
export * from './platform_client.js';
export * from './types.js';
