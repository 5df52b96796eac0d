"""A node that passes requests on unread, as the operators' routes say."""
