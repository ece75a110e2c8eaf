"""One HTTP call with a JSON body."""

import http.client
import json


def call(address, method, path, body=None, timeout=10.0):
    """Returns (status, decoded JSON or text); raises OSError on failure."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, body=text,
                           headers={"Content-Type": "application/json"})
        response = connection.getresponse()
        raw = response.read().decode()
    except http.client.HTTPException as error:
        raise ConnectionError(str(error) or type(error).__name__) from error
    finally:
        connection.close()
    try:
        return response.status, json.loads(raw)
    except ValueError:
        return response.status, raw
